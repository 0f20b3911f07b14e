/**
 * Frees room for a unit by stopping runs of others. Room is freed upstream by upstream, the cheapest for each task
 * of the unit first: cheap runs that are spread over many upstreams free accelerators, but no place for a task
 * that needs several of them side by side. Members of a gang are stopped together, as one that is stopped ends
 * the rest; the room of all of them counts.
 */
import { trackScopes, type FitScope } from './fitTracker.js'
import { sumCost, type VictimGroup } from './listVictimGroups.js'
import type { RoundAllocations } from './roundAllocations.js'
import { PreemptionSearch } from './preemptionSearch.js'
import { dropUnneededVictims } from './dropUnneededVictims.js'
import type { StartUnit } from './startUnit.js'
import type { VictimIndex } from './victimIndex.js'

export interface VictimChoice {
  readonly victims: readonly VictimGroup[]
  readonly upstreamIds: readonly string[]
}

export interface ChooseVictimsOptions {
  unit: StartUnit
  allocations: RoundAllocations
  /** What may be stopped. */
  victims: VictimIndex
  /** What may be thrown away for the unit. */
  costMaxCoreSeconds: number
}

/** The cheapest choice found over the racks; undefined where stopping everything would not do. */
export function chooseVictims({
  unit,
  allocations,
  victims,
  costMaxCoreSeconds,
}: ChooseVictimsOptions): VictimChoice | undefined {
  const scopes = trackScopes(unit, allocations, ({ freeAfterStops }) => freeAfterStops)
  const choices = scopes.flatMap((scope) => chooseForScope(scope, victims) ?? [])
  const [best] = choices.sort((left, right) => sumCost(left.victims) - sumCost(right.victims))
  return best !== undefined && sumCost(best.victims) <= costMaxCoreSeconds ? best : undefined
}

/** Stops what is cheapest until the unit fits, then spares what is not needed after all. */
function chooseForScope(scope: FitScope, victimIndex: VictimIndex): VictimChoice | undefined {
  const search = new PreemptionSearch(scope, victimIndex)
  const chosen: VictimGroup[] = []
  while (!scope.fits) {
    const cheapest = search.chooseCheapest()
    if (cheapest === undefined) return undefined
    chosen.push(...cheapest)
  }
  const victims = dropUnneededVictims(scope, chosen, () => scope.fits)
  return { victims, upstreamIds: scope.chooseUpstreams() }
}
