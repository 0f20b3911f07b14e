/**
 * Frees place for one more task of a unit at a time, wherever that is cheapest. What an upstream would cost is
 * worked out when it is first needed and again only once something on it has changed.
 */
import type { FitScope } from './fitTracker.js'
import { sumCost, type VictimGroup } from './listVictimGroups.js'
import { spareDearest } from './spareDearest.js'
import { upstreamsOf, type VictimIndex } from './victimIndex.js'

/** What has to be stopped for one or more tasks on an upstream. */
interface Offer {
  readonly groups: readonly VictimGroup[]
  readonly costPerTask: number
}

export class RoomFreeing {
  readonly #scope: FitScope
  readonly #victims: VictimIndex
  readonly #upstreamIds: readonly string[]
  readonly #taken = new Set<VictimGroup>()
  readonly #offers = new Map<string, Offer | undefined>()

  constructor(scope: FitScope, victims: VictimIndex) {
    this.#scope = scope
    this.#victims = victims
    this.#upstreamIds = victims.upstreamIds.filter((upstreamId) => scope.has(upstreamId))
  }

  /** Gives the room of the groups back to the scope; undefined where no upstream can be freed for another task. */
  takeCheapest(): readonly VictimGroup[] | undefined {
    const best = this.#findBest()
    if (best === undefined) return undefined
    for (const group of best.groups) this.#take(group)
    return best.groups
  }

  #findBest(): Offer | undefined {
    let best: Offer | undefined
    for (const upstreamId of this.#upstreamIds) {
      if (!this.#offers.has(upstreamId)) this.#offers.set(upstreamId, this.#makeOffer(upstreamId))
      const offer = this.#offers.get(upstreamId)
      if (offer !== undefined && offer.costPerTask < (best?.costPerTask ?? Infinity)) best = offer
    }
    return best
  }

  #take(group: VictimGroup): void {
    this.#scope.change(group.runs, group.needs, 1)
    this.#taken.add(group)
    for (const upstreamId of upstreamsOf(group)) this.#offers.delete(upstreamId)
  }

  /** The scope is left as it was. */
  #makeOffer(upstreamId: string): Offer | undefined {
    const scope = this.#scope
    const countBefore = scope.countOn(upstreamId)
    const missingBefore = scope.missing
    const hasGained = (): boolean => scope.countOn(upstreamId) > countBefore
    const tried: VictimGroup[] = []
    for (const group of this.#victims.on(upstreamId)) {
      if (hasGained()) break
      if (this.#taken.has(group)) continue
      scope.change(group.runs, group.needs, 1)
      tried.push(group)
    }
    const isPossible = hasGained()
    const groups = isPossible ? spareDearest(scope, tried, hasGained) : tried
    const gained = missingBefore - scope.missing
    for (const group of groups) scope.change(group.runs, group.needs, -1)
    return isPossible ? { groups, costPerTask: sumCost(groups) / Math.max(1, gained) } : undefined
  }
}
