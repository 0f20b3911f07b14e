/** Lists the units that starve at the end of a round. */
import { hasPlacements } from '@nettlespur/batch.state'
import { chooseRelaxed } from './chooseRelaxed.js'
import { canFitWhenEmpty } from './listScopes.js'
import { PoolCapacities } from './poolCapacities.js'
import { RoundAllocations } from './roundAllocations.js'
import type { SchedulableUpstream } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'
import type { StarvationReason, StarvingUnit } from './starvingUnit.js'

export interface ListStarvingUnitsOptions {
  /** Units of which the round starts nothing. */
  leftWaiting: readonly StartUnit[]
  /** The jobs that the round starts. */
  startedJobIds: ReadonlySet<string>
  allocations: RoundAllocations
  /** Upstreams on which nothing may start because their data centres are evacuated. */
  listEvacuated: () => readonly SchedulableUpstream[]
}

export function listStarvingUnits(opts: ListStarvingUnitsOptions): StarvingUnit[] {
  const { leftWaiting, startedJobIds, allocations } = opts
  if (leftWaiting.length === 0) return []
  const pools = new PoolCapacities(allocations.upstreams)
  const withEvacuated = createAllocationsWithEvacuated(opts)
  return leftWaiting.flatMap((unit) => {
    const { job, stepNumber } = unit
    const { jobId } = job.request
    if (startedJobIds.has(jobId) || hasPlacements(job)) return []
    const needsEvacuated =
      withEvacuated !== undefined &&
      !canFitWhenEmpty(unit, allocations) &&
      canFitWhenEmpty(unit, withEvacuated)
    if (!needsEvacuated && !pools.isAmpleFor(unit)) return []
    const explain = (): StarvationReason => {
      if (needsEvacuated) return 'evacuated-data-centre'
      if (unit.isAllowed !== undefined) return 'speed'
      return chooseRelaxed(unit, allocations)?.relaxed ?? 'fragmentation'
    }
    return [{ jobId, step: stepNumber, freeShare: pools.freeShareFor(unit), explain }]
  })
}

/** The round's allocations as they would be without evacuations; undefined if nothing is evacuated. */
function createAllocationsWithEvacuated({
  allocations,
  listEvacuated,
}: ListStarvingUnitsOptions): RoundAllocations | undefined {
  const evacuated = listEvacuated()
  if (evacuated.length === 0) return undefined
  const views = allocations.upstreams.map(({ view }) => view)
  return new RoundAllocations([...views, ...evacuated], allocations.nowMs)
}
