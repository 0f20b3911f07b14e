/**
 * Starvation: a unit of a job of which nothing runs is left waiting although its pool has ample capacity. Preferences
 * are worth a short wait only, so a round reports which units starve, and the reason if asked.
 */
import { hasPlacements } from '@nettlespur/batch.state'
import { PoolCapacities } from './poolCapacities.js'
import type { Preference } from './preference.js'
import { chooseRelaxed } from './chooseRelaxed.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { StartUnit } from './startUnit.js'

/** The last preference to relax so that the unit could start, or `fragmentation`: no upstreams have room for it. */
export type StarvationReason = Preference | 'fragmentation'

export interface StarvingUnit {
  readonly jobId: string
  readonly step: number
  /** Free share of its pool after the round. */
  readonly freeShare: number
  /** Computes the reason; call it only for a few units, and before the next round. */
  readonly explain: () => StarvationReason
}

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
