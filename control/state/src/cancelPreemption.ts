/** Cancels a preemption: the gang keeps running as if it had never been preempted. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import type { StateData } from './stateData.js'

export function cancelPreemption(
  data: StateData,
  _index: number,
  { at, jobId, fence, reason }: CommandOf<'job.keep'>,
): CommandResult {
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (job.preemption === undefined || !job.startCommitted) {
    return refuse('internal', `${jobId} is not a started gang with a pending preemption`)
  }
  return changeJob(data, job, {
    at,
    event: 'job.kept',
    reason,
    state: 'running',
    fields: { preemption: undefined },
  })
}
