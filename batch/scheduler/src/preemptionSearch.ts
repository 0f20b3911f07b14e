/**
 * Finds the cheapest preemptions for one more task of a unit at a time. The option of an upstream is computed when
 * it is first needed, and again only after one of its runs was chosen.
 */
import type { FitScope } from './fitTracker.js'
import { sumCost, type VictimGroup } from './listVictimGroups.js'
import { dropUnneededVictims } from './dropUnneededVictims.js'
import { listUpstreamIds, type VictimIndex } from './victimIndex.js'

/** Victims whose capacity lets an upstream take one or more further tasks. */
interface PreemptionOption {
  readonly groups: readonly VictimGroup[]
  readonly costPerTask: number
}

export class PreemptionSearch {
  readonly #scope: FitScope
  readonly #victims: VictimIndex
  readonly #upstreamIds: readonly string[]
  readonly #chosen = new Set<VictimGroup>()
  readonly #options = new Map<string, PreemptionOption | undefined>()

  constructor(scope: FitScope, victims: VictimIndex) {
    this.#scope = scope
    this.#victims = victims
    this.#upstreamIds = victims.upstreamIds.filter((upstreamId) => scope.has(upstreamId))
  }

  /**
   * Chooses the cheapest option and releases its capacity in the scope. Returns undefined if no upstream can be
   * freed for another task.
   */
  chooseCheapest(): readonly VictimGroup[] | undefined {
    const cheapest = this.#findCheapest()
    if (cheapest === undefined) return undefined
    for (const group of cheapest.groups) this.#choose(group)
    return cheapest.groups
  }

  #findCheapest(): PreemptionOption | undefined {
    let cheapest: PreemptionOption | undefined
    for (const upstreamId of this.#upstreamIds) {
      if (!this.#options.has(upstreamId))
        this.#options.set(upstreamId, this.#computeOption(upstreamId))
      const option = this.#options.get(upstreamId)
      if (option !== undefined && option.costPerTask < (cheapest?.costPerTask ?? Infinity))
        cheapest = option
    }
    return cheapest
  }

  #choose(group: VictimGroup): void {
    this.#scope.adjustFree(group.runs, group.needs, 1)
    this.#chosen.add(group)
    for (const upstreamId of listUpstreamIds(group)) this.#options.delete(upstreamId)
  }

  /** Leaves the scope unchanged. */
  #computeOption(upstreamId: string): PreemptionOption | undefined {
    const scope = this.#scope
    const countBefore = scope.countOn(upstreamId)
    const unplacedBefore = scope.unplacedCount
    const hasGained = (): boolean => scope.countOn(upstreamId) > countBefore
    const tried: VictimGroup[] = []
    for (const group of this.#victims.listOn(upstreamId)) {
      if (hasGained()) break
      if (this.#chosen.has(group)) continue
      scope.adjustFree(group.runs, group.needs, 1)
      tried.push(group)
    }
    const isPossible = hasGained()
    const groups = isPossible ? dropUnneededVictims(scope, tried, hasGained) : tried
    const gained = unplacedBefore - scope.unplacedCount
    for (const group of groups) scope.adjustFree(group.runs, group.needs, -1)
    return isPossible ? { groups, costPerTask: sumCost(groups) / Math.max(1, gained) } : undefined
  }
}
