/** Ends a job as finished and stores its answer, which has one part from each gang member. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { countAnswerBytes } from './pruneHistory.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import { answerBytesMax } from './retention.js'
import { getOrCreateHistory, type StateData } from './stateData.js'
import { recordSuccess } from './upstreamHealth.js'

export function finishJob(
  data: StateData,
  _index: number,
  { at, jobId, fence, parts }: CommandOf<'job.finish'>,
): CommandResult {
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (!job.startCommitted) return refuse('internal', `${jobId} was never started`)
  if (parts.length !== job.placement?.members.length) {
    return refuse(
      'internal',
      `${jobId}: the answer has ${parts.length} parts, not one of each member`,
    )
  }
  const bytes = countAnswerBytes(parts)
  if (bytes > answerBytesMax) {
    return refuse('body-too-large', `the answer of ${jobId} has ${bytes} bytes`)
  }
  recordSuccess(data, job)
  const { workspace } = job.request
  getOrCreateHistory(data, workspace).answers.set(jobId, { jobId, attempt: job.attempts, parts })
  return changeJob(data, job, {
    at,
    event: 'job.finished',
    reason: `all ${parts.length} members finished`,
    state: 'finished',
  })
}
