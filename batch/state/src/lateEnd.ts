/**
 * Late ends: a run that was counted as lost, because its upstream stayed silent until the lease had expired, turns out to
 * have finished before the lease expired. Its work is done, so the task must not run again, and a run started in its place
 * is stopped.
 */
import type { RunRef } from '@nettlespur/batch.model'
import type { Placement } from './command.js'
import { listStepPlacements } from './placementIndex.js'
import type { JobRecord, TaskRecord } from './records.js'

/** Whether the task of a run that its upstream reports as done still counts as open, although the run is not placed. */
export function isLateDone(job: JobRecord, run: RunRef): boolean {
  if (job.status !== 'active') return false
  const task = job.steps[run.step]?.tasks[run.index]
  if (task === undefined || task.phase === 'done' || run.attempt > task.attempt) return false
  return task.phase === 'waiting' || task.attempt !== run.attempt
}

/** Lists the placed runs of the task, or of its whole gang. */
export function listPlacedInUnit(job: JobRecord, { step, index }: RunRef): Placement[] {
  const placed = listStepPlacements(job, step)
  return isGang(job, step) ? placed : placed.filter((run) => run.index === index)
}

/** Whether the run is one of the task, or of its whole gang. */
export function isInUnit(job: JobRecord, { step, index }: RunRef, run: RunRef): boolean {
  if (run.jobId !== job.request.jobId || run.step !== step) return false
  return run.index === index || isGang(job, step)
}

/** Lists the task of the run, or all tasks of its gang. */
export function listUnitTasks(
  { request, steps }: JobRecord,
  { step, index }: RunRef,
): TaskRecord[] {
  const tasks = steps[step]?.tasks ?? []
  return isGang({ request }, step) ? tasks : tasks.filter((_, at) => at === index)
}

function isGang({ request }: Pick<JobRecord, 'request'>, step: number): boolean {
  return request.steps[step]?.isGang === true
}
