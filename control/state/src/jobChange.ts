/** The state machine of a job: its legal transitions, and how a job record is replaced by a changed one. */
import { finalJobStates, type JobState } from '@nettlespur/api.schemas'
import { refuse, type CommandResult, type Refused } from './commandResult.js'
import type { JobRecord } from './jobRecord.js'
import { pruneHistory } from './pruneHistory.js'
import { decisionsMax } from './retention.js'
import { getOrCreateHistory, type StateData } from './stateData.js'

export const legalTransitions: Readonly<Record<JobState, readonly JobState[]>> = {
  queued: ['reserving', 'cancelled', 'failed'],
  reserving: ['queued', 'running', 'stopping'],
  running: ['queued', 'stopping', 'finished', 'failed', 'unknown'],
  stopping: ['queued', 'running', 'stopping', 'cancelled', 'finished', 'failed', 'unknown'],
  finished: [],
  failed: [],
  cancelled: [],
  unknown: [],
}

export interface JobChange {
  readonly at: string
  /** Name of this decision in the job's trace. */
  readonly event: string
  readonly reason: string
  readonly state: JobState
  readonly fields?: Partial<JobRecord>
}

/**
 * Replaces a job's record and adds the decision to its trace. If the new state is final, moves the job to the
 * ended jobs of its workspace. Refuses a transition that is not legal.
 */
export function changeJob(data: StateData, job: JobRecord, change: JobChange): CommandResult {
  if (!legalTransitions[job.state].includes(change.state)) {
    return refuse('internal', `${job.jobId} cannot change from ${job.state} to ${change.state}`)
  }
  const decision = { at: change.at, event: change.event, reason: change.reason }
  const changed: JobRecord = omitUndefined({
    ...job,
    ...change.fields,
    state: change.state,
    reason: change.reason,
    decisions: [...job.decisions, decision].slice(-decisionsMax),
  })
  if (!finalJobStates.has(change.state)) {
    data.jobs.set(job.jobId, changed)
    return { type: 'job', job: changed }
  }
  return { type: 'job', job: archiveEndedJob(data, changed, change.at) }
}

/** Returns the live job placed under this fence, or a refusal if the job has ended or the fence is stale. */
export function findPlacedJob(data: StateData, jobId: string, fence: number): JobRecord | Refused {
  const job = data.jobs.get(jobId)
  if (job === undefined) return refuse('unknown-job', `${jobId} is not among the live jobs`)
  if (job.placement?.fence === fence) return job
  return refuse('fence-too-low', `${jobId} is no longer placed under fence ${fence}`)
}

export function isRefused(found: JobRecord | Refused): found is Refused {
  return 'type' in found
}

function archiveEndedJob(data: StateData, job: JobRecord, at: string): JobRecord {
  const ended: JobRecord = { ...job, endedAt: at, request: { ...job.request, payload: '' } }
  const history = getOrCreateHistory(data, job.request.workspace)
  data.jobs.delete(job.jobId)
  history.endedJobs.set(job.jobId, ended)
  const { jobKey } = job.request
  const key = jobKey === undefined ? undefined : history.jobKeys.get(jobKey)
  if (jobKey !== undefined && key !== undefined) {
    history.jobKeys.delete(jobKey)
    history.endedJobKeys.set(jobKey, { ...key, endedAt: at })
  }
  pruneHistory(history, data.timeMs)
  return ended
}

/** Omits undefined fields, so that a record equals its copy restored from a snapshot. */
function omitUndefined(job: JobRecord): JobRecord {
  const present = Object.entries(job).filter(([, value]) => value !== undefined)
  return Object.fromEntries(present) as unknown as JobRecord
}
