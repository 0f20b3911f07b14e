/**
 * Returns a stopped gang to the queue. A job that is not repeatable is requeued only if no start of this
 * attempt was sent, or if it was preempted with a checkpoint of the whole gang.
 */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import type { JobRecord } from './jobRecord.js'
import type { StateData } from './stateData.js'
import { listFailedUpstreams, recordTaskFailure } from './upstreamHealth.js'

export function requeueJob(
  data: StateData,
  _index: number,
  command: CommandOf<'job.requeue'>,
): CommandResult {
  const job = findPlacedJob(data, command.jobId, command.fence)
  if (isRefused(job)) return job
  const mayHaveRun = job.startCommitted && command.startSent
  if (job.cancelRequested) return refuse('internal', `${job.jobId} is cancelled`)
  const canResume = job.preemption !== undefined && command.checkpointId !== undefined
  if (mayHaveRun && !job.request.repeatable && !canResume) {
    return refuse('internal', `${job.jobId} is not repeatable and may have run`)
  }
  const result = changeJob(data, job, {
    at: command.at,
    event: 'job.requeued',
    reason: command.reason,
    state: 'queued',
    fields: {
      placement: undefined,
      preemption: undefined,
      checkpointId: command.checkpointId ?? job.checkpointId,
      failedUpstreamIds: listFailedUpstreams(job, command.failure),
      startCommitted: false,
      startedAt: pickStartedAt(job, mayHaveRun),
      retryAt: command.retryAt,
      failedAttempts: job.failedAttempts + (command.countsAsFailure ? 1 : 0),
    },
  })
  if (result.type === 'job') recordTaskFailure(data, job, command)
  return result
}

/** Clears the start time if the first attempt never started; otherwise keeps it. */
function pickStartedAt(job: JobRecord, mayHaveRun: boolean): string | undefined {
  return mayHaveRun || job.attempts > 1 ? job.startedAt : undefined
}
