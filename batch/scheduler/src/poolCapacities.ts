/** Total and free capacity of each pool, to tell whether a unit waits for lack of capacity or for another reason. */
import type { Resources } from '@nettlespur/batch.model'
import { addResources, noResources } from './resources.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import type { StartUnit } from './startUnit.js'

/** If this share of a pool is free, a unit waits only because of where it, or other work, may run. */
const ampleFreeShare = 0.5
/** How many times the unit's needs must be free for the pool to count as having ample capacity. */
const ampleNeedsFactor = 2

interface PoolCapacity {
  free: Resources
  capacity: Resources
}

export class PoolCapacities {
  readonly #byPool = new Map<string, PoolCapacity>()

  /** Sums up what no run uses at the time of the call. */
  constructor(upstreams: readonly UpstreamAllocation[]) {
    for (const { view, idle } of upstreams) {
      const sums = this.#byPool.get(view.pool) ?? { free: noResources, capacity: noResources }
      sums.free = addResources(sums.free, idle)
      sums.capacity = addResources(sums.capacity, view.capacity)
      this.#byPool.set(view.pool, sums)
    }
  }

  /** Whether the unit waits although its pool has ample capacity: as a whole if it is a gang, else one of its tasks. */
  isAmpleFor(unit: StartUnit): boolean {
    if (this.freeShareFor(unit) < ampleFreeShare) return false
    const { step, waiting } = unit
    const taskCount = step.isGang ? waiting.length : 1
    const needed = selectAmount(step.needs, step.needs) * taskCount * ampleNeedsFactor
    const free = this.#byPool.get(unit.job.queue.pool)?.free ?? noResources
    return selectAmount(free, step.needs) >= needed
  }

  /** Returns the free share of the unit's pool; 0 if the pool has no upstreams. */
  freeShareFor({ job, step: { needs } }: StartUnit): number {
    const pool = this.#byPool.get(job.queue.pool)
    if (pool === undefined) return 0
    return selectAmount(pool.free, needs) / Math.max(1, selectAmount(pool.capacity, needs))
  }
}

/** Returns the accelerators, or the cores for a unit that needs no accelerators. */
function selectAmount(
  { accelerators, cpuMillicores }: Resources,
  { accelerators: neededAccelerators }: Resources,
): number {
  return neededAccelerators > 0 ? accelerators : cpuMillicores
}
