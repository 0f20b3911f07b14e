/** Ends a placed job without an answer: as failed, cancelled or unknown. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import type { StateData } from './stateData.js'
import { recordTaskFailure } from './upstreamHealth.js'

export function endJob(
  data: StateData,
  _index: number,
  command: CommandOf<'job.ended'>,
): CommandResult {
  const { at, jobId, fence, outcome, reason } = command
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (!job.startCommitted && outcome !== 'cancelled') {
    return refuse('internal', `${jobId} was never started, so it cannot end as ${outcome}`)
  }
  const result = changeJob(data, job, { at, event: `job.${outcome}`, reason, state: outcome })
  if (result.type === 'job') recordTaskFailure(data, job, command)
  return result
}
