/**
 * Frees place for one more task of a unit at a time, wherever that is cheapest. What an upstream would cost is
 * worked out when it is first needed and again only once something on it has changed.
 */
import type { FitScope } from './fitTracker.js'
import type { VictimGroup } from './listVictimGroups.js'

/** What has to be stopped for one or more tasks on an upstream. */
interface Offer {
  readonly groups: readonly VictimGroup[]
  readonly costPerTask: number
}

export class RoomFreeing {
  readonly #scope: FitScope
  /** What may still be stopped on each upstream, the cheapest first. */
  readonly #groups = new Map<string, VictimGroup[]>()
  readonly #offers = new Map<string, Offer | undefined>()

  constructor(scope: FitScope, groups: readonly VictimGroup[]) {
    this.#scope = scope
    for (const group of groups) {
      for (const upstreamId of upstreamsOf(group)) {
        if (scope.has(upstreamId)) this.#groupsOn(upstreamId).push(group)
      }
    }
  }

  /** Gives the room of the groups back to the scope; undefined where no upstream can be freed for another task. */
  takeCheapest(): readonly VictimGroup[] | undefined {
    const best = this.#findBest()
    if (best === undefined) return undefined
    for (const group of best.groups) this.#take(group)
    return best.groups
  }

  #groupsOn(upstreamId: string): VictimGroup[] {
    const known = this.#groups.get(upstreamId)
    if (known !== undefined) return known
    const fresh: VictimGroup[] = []
    this.#groups.set(upstreamId, fresh)
    return fresh
  }

  #findBest(): Offer | undefined {
    let best: Offer | undefined
    for (const upstreamId of this.#groups.keys()) {
      if (!this.#offers.has(upstreamId)) this.#offers.set(upstreamId, this.#makeOffer(upstreamId))
      const offer = this.#offers.get(upstreamId)
      if (offer !== undefined && offer.costPerTask < (best?.costPerTask ?? Infinity)) best = offer
    }
    return best
  }

  #take(group: VictimGroup): void {
    this.#scope.change(group.runs, group.needs, 1)
    for (const upstreamId of upstreamsOf(group)) {
      if (!this.#scope.has(upstreamId)) continue
      this.#offers.delete(upstreamId)
      const left = this.#groupsOn(upstreamId).filter((other) => other !== group)
      this.#groups.set(upstreamId, left)
    }
  }

  /** The scope is left as it was. */
  #makeOffer(upstreamId: string): Offer | undefined {
    const scope = this.#scope
    const countBefore = scope.countOn(upstreamId)
    const missingBefore = scope.missing
    const hasGained = (): boolean => scope.countOn(upstreamId) > countBefore
    const tried: VictimGroup[] = []
    for (const group of this.#groupsOn(upstreamId)) {
      if (hasGained()) break
      scope.change(group.runs, group.needs, 1)
      tried.push(group)
    }
    const dearFirst = [...tried].sort((left, right) => right.costCoreSeconds - left.costCoreSeconds)
    const groups = hasGained() ? dearFirst.filter((group) => !this.#spare(group, hasGained)) : []
    const gained = missingBefore - scope.missing
    for (const group of hasGained() ? groups : tried) scope.change(group.runs, group.needs, -1)
    if (groups.length === 0) return undefined
    const cost = groups.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
    return { groups, costPerTask: cost / Math.max(1, gained) }
  }

  /** Whether the rest would do without the group; it is then running again. */
  #spare({ runs, needs }: VictimGroup, isEnough: () => boolean): boolean {
    this.#scope.change(runs, needs, -1)
    if (isEnough()) return true
    this.#scope.change(runs, needs, 1)
    return false
  }
}

function upstreamsOf({ runs }: VictimGroup): Set<string> {
  return new Set(runs.map(({ upstreamId }) => upstreamId))
}
