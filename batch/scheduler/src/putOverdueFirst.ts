/**
 * The one exception to the order of rank. A gang that needs much of a rack finds it free hardly ever while smaller
 * work goes before it and takes each piece, so one gang at a time goes before all but guaranteed work.
 */
import type { Resources } from '@nettlespur/batch.model'
import { listScopes } from './listScopes.js'
import type { RankedUnit } from './orderUnits.js'
import { addResources, noResources } from './resources.js'
import { countWhenEmpty, type RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

/** How long a gang that can earn nothing any more goes on waiting behind all others: it must end too. */
const patienceMs = 15_000
/** While this share of a pool is free, a gang waits only for where the smaller work runs. */
const spaciousShare = 0.5
/**
 * How many times as long a gang that prefers one rack runs across racks, by the platform's agreement. It waits no
 * longer than being spread costs it, so that it never loses more than twice the least; and it is spread only while
 * half of its pool is free, where it keeps nobody waiting. Otherwise it could wait without end beside ample room.
 */
const spreadTimes = 3
/** What the gang needs is free this many times over. */
const spaciousTimes = 2

interface PoolSums {
  free: Resources
  capacity: Resources
}

/** The same units; the oldest gang that is overdue comes right behind the guaranteed ones. */
export function putOverdueFirst(units: readonly RankedUnit[], book: RoomBook): RankedUnit[] {
  const gangs = units.filter(({ step, isGuaranteed }) => step.isGang && !isGuaranteed)
  if (gangs.length === 0) return [...units]
  const pools = sumPools(book)
  const overdue = findOverdue(gangs, pools, book)
  if (overdue === undefined) return [...units]
  const maySpread = isSpacious(overdue, pools) && hasWaitedForRack(overdue)
  const others = units.filter((unit) => unit !== overdue)
  const guaranteed = others.filter(({ isGuaranteed }) => isGuaranteed)
  const rest = others.filter(({ isGuaranteed }) => !isGuaranteed)
  return [...guaranteed, { ...overdue, isOverdue: true, maySpread }, ...rest]
}

function findOverdue(
  gangs: readonly RankedUnit[],
  pools: ReadonlyMap<string, PoolSums>,
  book: RoomBook,
): RankedUnit | undefined {
  return [...gangs]
    .sort((left, right) => left.job.number - right.job.number)
    .find((unit) => (isPatienceOver(unit, book) || isSpacious(unit, pools)) && couldFit(unit, book))
}

function hasWaitedForRack({ step, waitedMs }: RankedUnit): boolean {
  return step.prefersOneRack && waitedMs >= step.expectedRunTimeMs * (spreadTimes - 1)
}

function isPatienceOver({ lastUsefulStartMs }: RankedUnit, { nowMs }: RoomBook): boolean {
  return nowMs > lastUsefulStartMs + patienceMs
}

/** By accelerators, or by cores for a gang that needs none. */
function isSpacious({ job, step, waiting }: StartUnit, pools: ReadonlyMap<string, PoolSums>) {
  const { needs } = step
  const pool = pools.get(job.queue.pool)
  if (pool === undefined) return false
  const countOf = ({ accelerators, cpuMillicores }: Resources): number =>
    needs.accelerators > 0 ? accelerators : cpuMillicores
  const free = countOf(pool.free)
  const needed = countOf(needs) * waiting.length
  return free >= countOf(pool.capacity) * spaciousShare && free >= needed * spaciousTimes
}

function sumPools({ rooms }: RoomBook): Map<string, PoolSums> {
  const pools = new Map<string, PoolSums>()
  for (const { room } of rooms) {
    const sums = pools.get(room.pool) ?? { free: noResources, capacity: noResources }
    sums.free = addResources(sums.free, room.free)
    sums.capacity = addResources(sums.capacity, room.capacity)
    pools.set(room.pool, sums)
  }
  return pools
}

/** A gang that no empty upstreams could take must not stand before the others. */
function couldFit(unit: StartUnit, book: RoomBook): boolean {
  return listScopes(unit, book).some((rooms) => {
    const whenEmpty = rooms.reduce((sum, room) => sum + countWhenEmpty(unit.step, room), 0)
    return whenEmpty >= unit.waiting.length
  })
}
