/**
 * Chooses runs of other jobs to preempt for a unit. Capacity is freed upstream by upstream, the one with the lowest
 * cost per task of the unit first: stopping cheap runs spread over many upstreams frees accelerators, but no place
 * for a task that needs several on one upstream. Members of a gang are stopped together, as stopping one ends the
 * others; the capacity of all of them counts.
 */
import { addAll } from '@nettlespur/core.lists'
import { trackScopes, type FitScope } from './fitTracker.js'
import { sumCost, type VictimGroup } from './listVictimGroups.js'
import type { RoundAllocations } from './roundAllocations.js'
import { PreemptionSearch } from './preemptionSearch.js'
import { dropUnneededVictims } from './dropUnneededVictims.js'
import type { RankedUnit } from './orderUnits.js'
import type { VictimIndex } from './victimIndex.js'

export interface VictimChoice {
  readonly victims: readonly VictimGroup[]
  readonly upstreamIds: readonly string[]
}

export interface ChooseVictimsOptions {
  unit: RankedUnit
  allocations: RoundAllocations
  /** Runs that may be preempted. */
  victims: VictimIndex
  /** Limit of the work lost for the unit. */
  costMaxCoreSeconds: number
}

/** Returns the cheapest choice over all scopes, or undefined if none frees enough capacity within the cost limit. */
export function chooseVictims({
  unit,
  allocations,
  victims,
  costMaxCoreSeconds,
}: ChooseVictimsOptions): VictimChoice | undefined {
  const scopes = trackScopes(unit, allocations, ({ freeAfterStops }) => freeAfterStops)
  const lowerRanked = victims.rankedAfter(unit)
  const choices = scopes.flatMap((scope) => chooseForScope(scope, lowerRanked) ?? [])
  const [best] = choices.sort((left, right) => sumCost(left.victims) - sumCost(right.victims))
  return best !== undefined && sumCost(best.victims) <= costMaxCoreSeconds ? best : undefined
}

/** Adds the cheapest victims until the unit fits, then drops those that turn out not to be needed. */
function chooseForScope(scope: FitScope, victimIndex: VictimIndex): VictimChoice | undefined {
  const search = new PreemptionSearch(scope, victimIndex)
  const chosen: VictimGroup[] = []
  while (!scope.fits) {
    const cheapest = search.chooseCheapest()
    if (cheapest === undefined) return undefined
    addAll(chosen, cheapest)
  }
  const victims = dropUnneededVictims(scope, chosen, () => scope.fits)
  return { victims, upstreamIds: scope.chooseUpstreams() }
}
