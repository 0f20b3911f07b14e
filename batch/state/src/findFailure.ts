/** Decides whether a job must be given up, and why. */
import type { QueueConfig } from '@nettlespur/batch.model'
import { isPoison } from './crashRecord.js'
import type { JobFailure, JobRecord, StepRecord, TaskRecord } from './records.js'

/** The queue by which all tasks of a job were last checked. */
const checkedQueues = new WeakMap<JobRecord, QueueConfig>()

/**
 * Returns the first reason found, or undefined if the job may continue. Call it after each change of a task of an active job.
 * Only that task is checked if all were before, by the same queue: else the ends of a job's runs would cost the square of its width.
 */
export function findFailure(
  job: JobRecord,
  changed: { readonly step: number; readonly index: number },
): JobFailure | undefined {
  if (checkedQueues.get(job) === job.queue) return findStepFailure(job, changed.step, changed.index)
  checkedQueues.set(job, job.queue)
  for (const step of job.steps.keys()) {
    const found = findStepFailure(job, step)
    if (found !== undefined) return found
  }
  return undefined
}

/** Checks one task of the step, or all if `index` is undefined. */
function findStepFailure(
  { queue, request, steps }: JobRecord,
  step: number,
  index?: number,
): JobFailure | undefined {
  const record = steps[step]
  if (record === undefined) return undefined
  const isGang = request.steps[step]?.isGang === true
  if (isGang && record.gangFailures >= queue.attemptsMax)
    return { reason: 'attempts-used-up', step }
  const found = findTaskFailure(record, queue.attemptsMax, index)
  return found === undefined ? undefined : { ...found, step }
}

type TaskFailure = Pick<JobFailure, 'reason' | 'index'>

function findTaskFailure(
  { tasks }: StepRecord,
  attemptsMax: number,
  index?: number,
): TaskFailure | undefined {
  const first = index ?? 0
  const end = index === undefined ? tasks.length : index + 1
  for (let at = first; at < end; at++) {
    const reason = findReason(tasks[at], attemptsMax)
    if (reason !== undefined) return { reason, index: at }
  }
  return undefined
}

function findReason(
  task: TaskRecord | undefined,
  attemptsMax: number,
): JobFailure['reason'] | undefined {
  if (task === undefined) return undefined
  const { failures, crashes, attempt, phase } = task
  if (failures >= attemptsMax) return 'attempts-used-up'
  return phase === 'waiting' && isPoison(crashes, attempt) ? 'crashes-upstreams' : undefined
}
