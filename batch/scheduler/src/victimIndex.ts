/**
 * Index of victim groups by the upstreams on which they run. It is built once and shared by all searches of a round,
 * so that each search visits only the upstreams of its scope.
 */
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

  /** Returns the index for a search on behalf of the job: no job preempts its own runs. */
  withoutJob(jobId: string): VictimIndex {
    const own = this.#groups.filter(({ runs }) => runs[0]?.jobId === jobId)
    return own.length === 0 ? this : this.without(own)
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
