/**
 * Index of victim groups by the upstreams on which they run. It is built once and shared by all searches of a round,
 * so that each search visits only the upstreams of its scope.
 */
import { compareJobRanks, type JobRank } from './jobRank.js'
import type { VictimGroup } from './listVictimGroups.js'

const none: readonly VictimGroup[] = []

export class VictimIndex {
  readonly #groups: readonly VictimGroup[]
  readonly #byUpstream = new Map<string, VictimGroup[]>()

  /** `groups` is sorted by cost per accelerator, cheapest first; the order is kept. */
  constructor(groups: readonly VictimGroup[]) {
    this.#groups = groups
    for (const group of groups) {
      for (const upstreamId of listUpstreamIds(group)) this.#add(upstreamId, group)
    }
  }

  /** Upstreams with at least one run that may be preempted. */
  get upstreamIds(): string[] {
    return [...this.#byUpstream.keys()]
  }

  listOn(upstreamId: string): readonly VictimGroup[] {
    return this.#byUpstream.get(upstreamId) ?? none
  }

  without(removed: readonly VictimGroup[]): VictimIndex {
    const removedGroups = new Set(removed)
    return new VictimIndex(this.#groups.filter((group) => !removedGroups.has(group)))
  }

  /**
   * Returns the groups that may be preempted for a unit of this rank. The others would come before it in the next round
   * and take the same capacity again.
   */
  rankedAfter(rank: JobRank): VictimIndex {
    const others = this.#groups.filter((group) => compareJobRanks(group.rank, rank) <= 0)
    return others.length === 0 ? this : this.without(others)
  }

  #add(upstreamId: string, group: VictimGroup): void {
    const known = this.#byUpstream.get(upstreamId)
    if (known === undefined) this.#byUpstream.set(upstreamId, [group])
    else known.push(group)
  }
}

/** Returns each upstream with a run of the group once. */
export function listUpstreamIds({ runs }: VictimGroup): Set<string> {
  return new Set(runs.map(({ upstreamId }) => upstreamId))
}
