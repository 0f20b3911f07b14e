/** Records that a placed gang is preempted. Its gang runner then stops all its members and requeues the job. */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob, findPlacedJob, isRefused } from './jobChange.js'
import type { StateData } from './stateData.js'

export function preemptJob(
  data: StateData,
  _index: number,
  command: CommandOf<'job.preempt'>,
): CommandResult {
  const { at, jobId, fence, forJobId, withCheckpoint, reason } = command
  const job = findPlacedJob(data, jobId, fence)
  if (isRefused(job)) return job
  if (job.state === 'stopping') return refuse('internal', `${jobId} is already stopping`)
  const { repeatable, checkpointable } = job.request
  if (withCheckpoint && !checkpointable) {
    return refuse('internal', `${jobId} is not checkpointable`)
  }
  if (!repeatable && !withCheckpoint) {
    return refuse('internal', `${jobId} is not repeatable and is preempted without a checkpoint`)
  }
  return changeJob(data, job, {
    at,
    event: 'job.preempted',
    reason,
    state: 'stopping',
    fields: { preemption: { forJobId, withCheckpoint, reason } },
  })
}
