/**
 * Records a caller's request to cancel a job. A queued job ends at once; a placed job ends after all its
 * members have stopped.
 */
import type { CommandOf } from './command.js'
import { refuse, type CommandResult } from './commandResult.js'
import { changeJob } from './jobChange.js'
import type { StateData } from './stateData.js'

export function cancelJob(
  data: StateData,
  _index: number,
  { at, workspace, jobId }: CommandOf<'job.cancel'>,
): CommandResult {
  const live = data.jobs.get(jobId)
  const job = live ?? data.histories.get(workspace)?.endedJobs.get(jobId)
  if (job?.request.workspace !== workspace) {
    return refuse('unknown-job', `no job ${jobId} of workspace ${workspace}`)
  }
  if (live === undefined || job.cancelRequested) return { type: 'job', job }
  const queued = job.state === 'queued'
  return changeJob(data, job, {
    at,
    event: 'job.cancel',
    reason: queued ? 'cancelled by its caller while queued' : 'cancelled by its caller; stops now',
    state: queued ? 'cancelled' : 'stopping',
    fields: { cancelRequested: true, preemption: undefined },
  })
}
