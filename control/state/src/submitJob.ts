/** Queues a job for its workspace. Idempotent by job key. */
import type { ContractLimits, JobRequest } from '@nettlespur/api.schemas'
import type { CommandOf } from './command.js'
import { refuse, type CommandResult, type Refused } from './commandResult.js'
import { digestValue } from './digestValue.js'
import { pruneHistory } from './pruneHistory.js'
import type { JobRecord } from './jobRecord.js'
import { jobKeysMax } from './retention.js'
import {
  getOrCreateHistory,
  type JobKeyRecord,
  type StateData,
  type WorkspaceHistory,
} from './stateData.js'

const queueRetryAfterMs = 2000
const keysRetryAfterMs = 60_000

export function submitJob(
  data: StateData,
  index: number,
  { at, request }: CommandOf<'job.submit'>,
): CommandResult {
  const contract = data.contracts.get(request.workspace)?.record.contract
  if (contract === undefined) {
    return refuse('unknown-workspace', `no contract for workspace ${request.workspace}`)
  }
  const history = getOrCreateHistory(data, request.workspace)
  pruneHistory(history, data.timeMs)
  const digest = digestValue(request)
  const known = findJobKey(history, request.jobKey)
  if (known !== undefined) return repeatFirstResult(data, history, known, digest)
  const fault = findLimitViolation(data, history, request, contract.limits)
  if (fault !== undefined) return fault
  const job = createJob(`job-${index}`, request, at)
  data.jobs.set(job.jobId, job)
  if (request.jobKey !== undefined) {
    history.jobKeys.set(request.jobKey, { jobId: job.jobId, digest })
  }
  return { type: 'job', job }
}

function findJobKey(
  history: WorkspaceHistory,
  jobKey: string | undefined,
): JobKeyRecord | undefined {
  if (jobKey === undefined) return undefined
  return history.jobKeys.get(jobKey) ?? history.endedJobKeys.get(jobKey)
}

function repeatFirstResult(
  data: StateData,
  history: WorkspaceHistory,
  known: JobKeyRecord,
  digest: string,
): CommandResult {
  if (known.digest !== digest) {
    return refuse(
      'idempotency-conflict',
      `the job key was already used for ${known.jobId} with a different body`,
      {
        hint: 'use a new job key for a new job',
      },
    )
  }
  const job = data.jobs.get(known.jobId) ?? history.endedJobs.get(known.jobId)
  if (job !== undefined) return { type: 'job', job }
  return refuse(
    'answer-expired',
    `${known.jobId}, submitted under this job key, has ended and is no longer kept`,
  )
}

function findLimitViolation(
  data: StateData,
  history: WorkspaceHistory,
  request: JobRequest,
  limits: ContractLimits,
): Refused | undefined {
  const { accelerators } = request.gang
  if (accelerators > limits.largestGangAccelerators) {
    return refuse(
      'impossible-shape',
      `a gang of ${accelerators} accelerators exceeds the contract's largest gang, ${limits.largestGangAccelerators}`,
    )
  }
  if (accelerators > limits.concurrentAccelerators) {
    return refuse(
      'impossible-shape',
      `a gang of ${accelerators} accelerators exceeds the contract's concurrent accelerators, ${limits.concurrentAccelerators}`,
    )
  }
  const waiting = countQueuedJobs(data, request.workspace)
  if (waiting >= limits.queuedJobs) {
    return refuse(
      'queue-full',
      `${waiting} jobs of workspace ${request.workspace} are already queued`,
      {
        retryAfterMs: queueRetryAfterMs,
      },
    )
  }
  const keys = history.jobKeys.size + history.endedJobKeys.size
  if (request.jobKey === undefined || keys < jobKeysMax) return undefined
  return refuse(
    'over-limit',
    `${keys} job keys of workspace ${request.workspace} are already kept, the maximum`,
    {
      retryAfterMs: keysRetryAfterMs,
      hint: 'a key is kept for a day after its job has ended',
    },
  )
}

function countQueuedJobs(data: StateData, workspace: string): number {
  let count = 0
  for (const job of data.jobs.values()) {
    if (job.state === 'queued' && job.request.workspace === workspace) count += 1
  }
  return count
}

function createJob(jobId: string, request: JobRequest, at: string): JobRecord {
  const reason = 'waits for its first placement'
  return {
    jobId,
    request,
    state: 'queued',
    reason,
    attempts: 0,
    failedAttempts: 0,
    submittedAt: at,
    startCommitted: false,
    cancelRequested: false,
    failedUpstreamIds: [],
    decisions: [{ at, event: 'job.submitted', reason }],
  }
}
