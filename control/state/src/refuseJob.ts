/** Ends a queued job that can never run: as cancelled if no attempt was started, as failed otherwise. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob } from './jobChange.js'
import type { StateData } from './stateData.js'

export function refuseJob(
  data: StateData,
  _index: number,
  { at, jobId, reason }: CommandOf<'job.refuse'>,
): CommandResult {
  const job = data.jobs.get(jobId)
  if (job === undefined) return refuse('unknown-job', `${jobId} is not among the live jobs`)
  if (job.state !== 'queued') return refuse('internal', `${jobId} is ${job.state}, not queued`)
  const state = job.startedAt === undefined ? 'cancelled' : 'failed'
  return changeJob(data, job, { at, event: 'job.refused', reason, state })
}
