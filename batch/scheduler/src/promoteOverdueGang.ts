/**
 * The only exception to rank order. A gang that needs much of a rack would starve while higher-ranked small work
 * takes each piece that becomes free, so one gang at a time goes before all work that may not preempt others.
 */
import { computeStopCostLimit } from './computeStopCostLimit.js'
import { canFitWhenEmpty } from './listScopes.js'
import type { RankedUnit } from './orderUnits.js'
import { PoolCapacities } from './poolCapacities.js'
import type { RoundAllocations } from './roundAllocations.js'

/** How long after its last useful start a unit only gets what others leave; after that it is helped to end too. */
const overdueGraceMs = 15_000

/** Returns the same units, with the oldest overdue gang moved right behind those that may preempt. */
export function promoteOverdueGang(
  units: readonly RankedUnit[],
  allocations: RoundAllocations,
): RankedUnit[] {
  const gangs = units.filter((unit) => unit.step.isGang && !mayPreempt(unit))
  if (gangs.length === 0) return [...units]
  const pools = new PoolCapacities(allocations.upstreams)
  const overdue = findOverdueGang(gangs, pools, allocations)
  if (overdue === undefined) return [...units]
  const others = units.filter((unit) => unit !== overdue)
  const first = others.filter(mayPreempt)
  const rest = others.filter((unit) => !mayPreempt(unit))
  return [...first, { ...overdue, isOverdue: true }, ...rest]
}

/**
 * A gang is overdue once its grace period has passed, or while its pool has ample free capacity. One that would not fit
 * even on empty upstreams must not be promoted: it would block the others.
 */
function findOverdueGang(
  gangs: readonly RankedUnit[],
  pools: PoolCapacities,
  allocations: RoundAllocations,
): RankedUnit | undefined {
  return [...gangs]
    .sort((left, right) => left.job.number - right.job.number)
    .find(
      (unit) =>
        (isPastGrace(unit, allocations) || pools.isAmpleFor(unit)) &&
        canFitWhenEmpty(unit, allocations),
    )
}

/** Units that may preempt stay before the gang: what they stop for themselves must not go to the gang. */
function mayPreempt(unit: RankedUnit): boolean {
  return computeStopCostLimit(unit) > 0
}

/** Whether the unit's job has long been worth nothing: it is neither worth waiting for nor given up. */
export function isPastGrace(
  { lastUsefulStartMs }: RankedUnit,
  { nowMs }: Pick<RoundAllocations, 'nowMs'>,
): boolean {
  return nowMs > lastUsefulStartMs + overdueGraceMs
}
