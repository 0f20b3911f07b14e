/** Lists the units that starve at the end of a round. */
import { hasPlacements } from '@nettlespur/batch.state'
import { chooseRelaxed } from './chooseRelaxed.js'
import { PoolCapacities } from './poolCapacities.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'
import type { StarvingUnit } from './starvingUnit.js'

/** Returns those of the units left waiting that starve. `startedJobIds` are the jobs that the round itself starts. */
export function listStarvingUnits(
  leftWaiting: readonly StartUnit[],
  startedJobIds: ReadonlySet<string>,
  allocations: RoundAllocations,
): StarvingUnit[] {
  if (leftWaiting.length === 0) return []
  const pools = new PoolCapacities(allocations.upstreams)
  return leftWaiting.flatMap((unit) => {
    const { job, stepNumber } = unit
    const { jobId } = job.request
    if (startedJobIds.has(jobId) || !pools.isAmpleFor(unit) || hasPlacements(job)) return []
    const explain = () => chooseRelaxed(unit, allocations)?.relaxed ?? 'fragmentation'
    return [{ jobId, step: stepNumber, freeShare: pools.freeShareFor(unit), explain }]
  })
}
