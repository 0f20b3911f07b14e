/** Which runs may be stopped for guaranteed work: all but those that are guaranteed themselves. */
import type { JobRecord } from '@nettlespur/batch.state'
import { groupKey, type VictimGroup } from './chooseVictims.js'
import type { ActiveRun, SchedulerView } from './schedulerView.js'

/** Urgent work that is stopped is late as well: it is stopped only where that saves much other work. */
const urgentCostTimes = 5

export function listVictimGroups(
  { runs, jobs }: SchedulerView,
  guaranteed: ReadonlySet<string>,
): VictimGroup[] {
  const byId = new Map(jobs.map((job) => [job.request.jobId, job]))
  const groups = new Map<string, VictimGroup>()
  for (const run of runs) {
    const job = byId.get(run.placement.jobId)
    if (job === undefined || run.isStopping || guaranteed.has(run.placement.jobId)) continue
    join(groups, run, job)
  }
  return [...groups.values()]
}

function join(groups: Map<string, VictimGroup>, run: ActiveRun, job: JobRecord): void {
  const { placement, stopCostCoreSeconds } = run
  const step = job.request.steps[placement.step]
  if (step === undefined) return
  const key = groupKey(placement, step.isGang)
  const known = groups.get(key)
  const weight = job.queue.priority === 0 ? urgentCostTimes : 1
  groups.set(key, {
    runs: [...(known?.runs ?? []), placement],
    needs: step.needs,
    costCoreSeconds: (known?.costCoreSeconds ?? 0) + stopCostCoreSeconds * weight,
  })
}
