/** Decides whether a job must be given up, and why. */
import type { QueueConfig } from '@nettlespur/batch.model'
import { isPoison } from './crashRecord.js'
import type { JobFailure, JobRecord, TaskRecord } from './records.js'
import { isPoisonTask } from './upstreamLosses.js'

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
  if (checkedQueues.get(job) === job.queue)
    return findStepFailure(job, changed.step, [changed.index])
  checkedQueues.set(job, job.queue)
  for (const [step, { tasks }] of job.steps.entries()) {
    const found = findStepFailure(job, step, tasks.keys())
    if (found !== undefined) return found
  }
  return undefined
}

/** Checks the step as a gang, and those of its tasks. */
function findStepFailure(
  { queue, request, steps }: JobRecord,
  step: number,
  indexes: Iterable<number>,
): JobFailure | undefined {
  const record = steps[step]
  if (record === undefined) return undefined
  const isGang = request.steps[step]?.isGang === true
  if (isGang && record.gangFailures >= queue.attemptsMax)
    return { reason: 'attempts-used-up', step }
  for (const index of indexes) {
    const reason = findReason(record.tasks[index], queue.attemptsMax)
    if (reason !== undefined) return { reason, index, step }
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
  const mayStart = phase === 'waiting'
  const crashesUpstreams = isPoisonTask(task) || isPoison(crashes, attempt)
  return mayStart && crashesUpstreams ? 'crashes-upstreams' : undefined
}
