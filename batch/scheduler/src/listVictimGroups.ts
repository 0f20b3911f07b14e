/** Which runs may be stopped for guaranteed work: all but those that are guaranteed themselves. */
import { runKey, type Resources } from '@nettlespur/batch.model'
import type { JobRecord, Placement } from '@nettlespur/batch.state'
import { urgentPriority } from './computeStopCostLimit.js'
import type { ActiveRun, SchedulerView } from './schedulerView.js'

/** Runs that can only be stopped together. */
export interface VictimGroup {
  readonly runs: Placement[]
  readonly needs: Resources
  /** What a stop throws away, urgent work counted more. */
  costCoreSeconds: number
}

/** Urgent work that is stopped is late as well: it is stopped only where that saves much other work. */
const urgentCostFactor = 5

/** The cheapest for the accelerators that come free first. */
export function listVictimGroups(
  { runs, jobs }: SchedulerView,
  guaranteed: ReadonlySet<string>,
): VictimGroup[] {
  const byId = new Map(jobs.map((job) => [job.request.jobId, job]))
  const groups = new Map<string, VictimGroup>()
  for (const run of runs) {
    const job = byId.get(run.placement.jobId)
    if (job === undefined || run.isStopping || guaranteed.has(run.placement.jobId)) continue
    addToGroup(groups, run, job)
  }
  return [...groups.values()].sort(
    (left, right) => costPerAccelerator(left) - costPerAccelerator(right),
  )
}

function addToGroup(groups: Map<string, VictimGroup>, run: ActiveRun, job: JobRecord): void {
  const { placement, stopCostCoreSeconds } = run
  const step = job.request.steps[placement.step]
  if (step === undefined) return
  const key = groupKey(placement, step.isGang)
  const weight = job.queue.priority === urgentPriority ? urgentCostFactor : 1
  const group = groups.get(key) ?? { runs: [], needs: step.needs, costCoreSeconds: 0 }
  group.runs.push(placement)
  group.costCoreSeconds += stopCostCoreSeconds * weight
  groups.set(key, group)
}

/** Names a group: the gang's attempt, or the single run. */
function groupKey(run: Placement, isGang: boolean): string {
  return isGang ? `${run.jobId}/${run.step}#${run.attempt}` : runKey(run)
}

/** Of all that is stopped, in core-seconds. */
export function sumCost(groups: readonly VictimGroup[]): number {
  return groups.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
}

/** Cost for each accelerator that comes free. */
function costPerAccelerator({ runs, needs, costCoreSeconds }: VictimGroup): number {
  return costCoreSeconds / Math.max(1, runs.length * needs.accelerators)
}
