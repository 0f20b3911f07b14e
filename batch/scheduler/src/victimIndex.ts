/**
 * What may be stopped, by the upstreams that it would free. Made once for all units and racks of a round that look: each
 * of these only goes over the upstreams of its own.
 */
import type { VictimGroup } from './listVictimGroups.js'

const none: readonly VictimGroup[] = []

export class VictimIndex {
  readonly #groups: readonly VictimGroup[]
  readonly #byUpstream = new Map<string, VictimGroup[]>()

  /** The groups come with the cheapest for the room it gives first, and stay in that order. */
  constructor(groups: readonly VictimGroup[]) {
    this.#groups = groups
    for (const group of groups) {
      for (const upstreamId of listUpstreamIds(group)) this.#add(upstreamId, group)
    }
  }

  /** Upstreams on which something may be stopped. */
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

  #add(upstreamId: string, group: VictimGroup): void {
    const known = this.#byUpstream.get(upstreamId)
    if (known === undefined) this.#byUpstream.set(upstreamId, [group])
    else known.push(group)
  }
}

/** Each once, however many runs of the group it holds. */
export function listUpstreamIds({ runs }: VictimGroup): Set<string> {
  return new Set(runs.map(({ upstreamId }) => upstreamId))
}
