/** Lists the runs that may be preempted: all but those of guaranteed jobs and those being stopped already. */
import { runKey, type Resources } from '@nettlespur/batch.model'
import type { JobRecord, Placement } from '@nettlespur/batch.state'
import { urgentPriority } from './urgentPriority.js'
import { rankJob, type JobRank } from './jobRank.js'
import type { ActiveRun, SchedulerView } from './schedulerView.js'

/** Runs that are preempted together: the running members of a gang attempt, or a single run. */
export interface VictimGroup {
  readonly runs: Placement[]
  readonly needs: Resources
  readonly rank: JobRank
  /** Work lost with the group; urgent work is weighted by `urgentCostFactor`. */
  costCoreSeconds: number
}

/**
 * Weight of lost urgent work: a preempted urgent run ends late too, so it is preempted only if that saves much other
 * work.
 */
const urgentCostFactor = 5

/** Returns the groups by cost per accelerator, the cheapest first. */
export function listVictimGroups(
  view: SchedulerView,
  guaranteed: ReadonlySet<string>,
): VictimGroup[] {
  const { runs, jobs } = view
  const byId = new Map(jobs.map((job) => [job.request.jobId, job]))
  const groups = new Map<string, VictimGroup>()
  for (const run of runs) {
    const job = byId.get(run.placement.jobId)
    if (job === undefined || run.isStopping || guaranteed.has(run.placement.jobId)) continue
    addToGroup(groups, run, job, () => rankJob(job, view, false))
  }
  return [...groups.values()].sort(
    (left, right) => costPerAccelerator(left) - costPerAccelerator(right),
  )
}

function addToGroup(
  groups: Map<string, VictimGroup>,
  run: ActiveRun,
  job: JobRecord,
  rank: () => JobRank,
): void {
  const { placement, stopCostCoreSeconds } = run
  const step = job.request.steps[placement.step]
  if (step === undefined) return
  const key = groupKey(placement, step.isGang)
  const weight = job.queue.priority === urgentPriority ? urgentCostFactor : 1
  const group = groups.get(key) ?? {
    runs: [],
    needs: step.needs,
    rank: rank(),
    costCoreSeconds: 0,
  }
  group.runs.push(placement)
  group.costCoreSeconds += stopCostCoreSeconds * weight
  groups.set(key, group)
}

function groupKey(run: Placement, isGang: boolean): string {
  return isGang ? `${run.jobId}/${run.step}#${run.attempt}` : runKey(run)
}

/** Returns the work lost with all groups, in core-seconds. */
export function sumCost(groups: readonly VictimGroup[]): number {
  return groups.reduce((sum, { costCoreSeconds }) => sum + costCoreSeconds, 0)
}

function costPerAccelerator({ runs, needs, costCoreSeconds }: VictimGroup): number {
  return costCoreSeconds / Math.max(1, runs.length * needs.accelerators)
}
