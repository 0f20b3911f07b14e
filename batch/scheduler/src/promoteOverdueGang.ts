/**
 * The only exception to rank order. A gang that needs much of a rack would starve while higher-ranked small work
 * takes each piece that becomes free, so one gang at a time goes before all but guaranteed work.
 */
import type { Resources } from '@nettlespur/batch.model'
import { listScopes } from './listScopes.js'
import type { RankedUnit } from './orderUnits.js'
import { addResources, noResources } from './resources.js'
import { countWhenEmpty, type RoundAllocations } from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'

/** How long after its last useful start a gang keeps its low rank; after that it is promoted, so that it ends too. */
const overdueGraceMs = 15_000
/** If this share of a pool is free, a gang waits only because of where smaller work runs. */
const ampleFreeShare = 0.5
/**
 * How many times as long a gang that prefers one rack runs across racks, by the platform's agreement. The gang waits
 * for a rack no longer than the time it would lose across racks, so it never loses more than twice what the better
 * choice would have cost. It spans racks only while half of its pool is free, where it delays no other work. Without
 * this rule it could wait forever although there is ample free capacity.
 */
const crossRackSlowdown = 3
/** How many times the gang's needs must be free for the pool to count as having ample capacity. */
const ampleNeedsFactor = 2

interface PoolCapacity {
  free: Resources
  capacity: Resources
}

/** Returns the same units, with the oldest overdue gang moved right behind the guaranteed ones. */
export function promoteOverdueGang(
  units: readonly RankedUnit[],
  allocations: RoundAllocations,
): RankedUnit[] {
  const gangs = units.filter(({ step, isGuaranteed }) => step.isGang && !isGuaranteed)
  if (gangs.length === 0) return [...units]
  const pools = sumPoolCapacities(allocations)
  const overdue = findOverdueGang(gangs, pools, allocations)
  if (overdue === undefined) return [...units]
  const canSpanRacks = hasAmpleCapacity(overdue, pools) && hasWaitedForRack(overdue)
  const others = units.filter((unit) => unit !== overdue)
  const guaranteed = others.filter(({ isGuaranteed }) => isGuaranteed)
  const rest = others.filter(({ isGuaranteed }) => !isGuaranteed)
  return [...guaranteed, { ...overdue, isOverdue: true, canSpanRacks }, ...rest]
}

/** A gang is overdue once its grace period has passed, or while its pool has ample free capacity. */
function findOverdueGang(
  gangs: readonly RankedUnit[],
  pools: ReadonlyMap<string, PoolCapacity>,
  allocations: RoundAllocations,
): RankedUnit | undefined {
  return [...gangs]
    .sort((left, right) => left.job.number - right.job.number)
    .find(
      (unit) =>
        (isPastGrace(unit, allocations) || hasAmpleCapacity(unit, pools)) &&
        canFitWhenEmpty(unit, allocations),
    )
}

function hasWaitedForRack({ step, waitedMs }: RankedUnit): boolean {
  return step.prefersOneRack && waitedMs >= step.expectedRunTimeMs * (crossRackSlowdown - 1)
}

function isPastGrace({ lastUsefulStartMs }: RankedUnit, { nowMs }: RoundAllocations): boolean {
  return nowMs > lastUsefulStartMs + overdueGraceMs
}

/** Compares accelerators, or cores for a gang that needs no accelerators. */
function hasAmpleCapacity(
  { job, step, waiting }: StartUnit,
  pools: ReadonlyMap<string, PoolCapacity>,
) {
  const { needs } = step
  const pool = pools.get(job.queue.pool)
  if (pool === undefined) return false
  const selectAmount = ({ accelerators, cpuMillicores }: Resources): number =>
    needs.accelerators > 0 ? accelerators : cpuMillicores
  const free = selectAmount(pool.free)
  const needed = selectAmount(needs) * waiting.length
  return free >= selectAmount(pool.capacity) * ampleFreeShare && free >= needed * ampleNeedsFactor
}

function sumPoolCapacities({ upstreams }: RoundAllocations): Map<string, PoolCapacity> {
  const pools = new Map<string, PoolCapacity>()
  for (const { view } of upstreams) {
    const sums = pools.get(view.pool) ?? { free: noResources, capacity: noResources }
    sums.free = addResources(sums.free, view.free)
    sums.capacity = addResources(sums.capacity, view.capacity)
    pools.set(view.pool, sums)
  }
  return pools
}

/** A gang that would not fit even on empty upstreams must not be promoted: it would block the others. */
function canFitWhenEmpty(unit: StartUnit, allocations: RoundAllocations): boolean {
  return listScopes(unit, allocations).some((upstreams) => {
    const whenEmpty = upstreams.reduce(
      (sum, upstream) => sum + countWhenEmpty(unit.step, upstream),
      0,
    )
    return whenEmpty >= unit.waiting.length
  })
}
