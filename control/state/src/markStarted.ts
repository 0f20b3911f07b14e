/** Records that the start requests of a gang are about to be sent. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import { findEvacuated } from './placeJob.js'
import type { StateData } from './stateData.js'

export function markStarted(
  data: StateData,
  _index: number,
  { at, jobId, fence }: CommandOf<'job.started'>,
): CommandResult {
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (job.state === 'stopping') {
    return refuse(
      'cancelled-before-start',
      `${jobId} is being stopped before its start: ${job.reason}`,
    )
  }
  const evacuated = findEvacuated(data, job.placement?.members ?? [])
  if (evacuated !== undefined)
    return refuse('no-upstream', `${evacuated} was evacuated before the start of ${jobId}`)
  return changeJob(data, job, {
    at,
    event: 'job.started',
    reason: 'all members reserved',
    state: 'running',
    fields: { startCommitted: true, startedAt: job.startedAt ?? at },
  })
}
