/**
 * The jobs of which the replicated state shows that a task has begun. That a task is placed shows nothing: its order may have
 * been refused or lost.
 */
import type { RunEnd } from './command.js'
import type { JobRecord, StepRecord, TaskRecord } from './records.js'

export class BegunJobs {
  readonly #jobIds = new Set<string>()

  has(jobId: string): boolean {
    return this.#jobIds.has(jobId)
  }

  /** Adds the job if its record shows that a task has begun. */
  addJob(job: JobRecord): void {
    if (hasBegunTask(job)) this.#jobIds.add(job.request.jobId)
  }

  /** Call it once the end has been applied to the job's record. */
  noteEnd(end: RunEnd): void {
    if (showsBegunTask(end)) this.#jobIds.add(end.jobId)
  }

  forget(jobId: string): void {
    this.#jobIds.delete(jobId)
  }
}

/** Whether the end leaves a trace in the job's record by which `hasBegunTask` holds. */
export function showsBegunTask({ outcome, checkpoint = '', hasBegun, isLate }: RunEnd): boolean {
  if (outcome === 'done' || outcome === 'failed' || checkpoint !== '') return true
  return hasBegun === true || isLate === true
}

/** Whether the job's record shows that a task has begun. */
export function hasBegunTask({ hasBegun, steps }: JobRecord): boolean {
  return hasBegun === true || steps.some((step) => hasTraceOfRun(step))
}

function hasTraceOfRun({ gangFailures, tasks }: StepRecord): boolean {
  return gangFailures > 0 || tasks.some((task) => hasRun(task))
}

function hasRun({ phase, failures, failedOn, checkpoint }: TaskRecord): boolean {
  return phase === 'done' || failures > 0 || failedOn.length > 0 || checkpoint !== ''
}
