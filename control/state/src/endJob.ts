/** Ends a job without an answer. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import type { StateData } from './stateData.js'

export function endJob(
  data: StateData,
  _index: number,
  { at, jobId, fence, outcome, reason }: CommandOf<'job.ended'>,
): CommandResult {
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (!job.startCommitted && outcome !== 'cancelled') {
    return refuse('internal', `${jobId} was never started, so it cannot end as ${outcome}`)
  }
  return changeJob(data, job, { at, event: `job.${outcome}`, reason, state: outcome })
}
