/** Chooses the command to commit once an attempt is over and all of its members are known to have stopped. */
import type { Command, JobRecord } from '@nettlespur/control.state'
import type { GangAborted, GangOutcome, GangPreempted } from './gangOutcome.js'

/** Once its tasks have failed on this many upstreams, the job itself is taken to be faulty and ends as failed. */
export const failedUpstreamsMax = 3
/** Attempts that may have run and are known to have failed or to be lost, after which the job ends as failed. */
const failedAttemptsMax = 8
const retryBaseMs = 100
const retryCapMs = 15_000
/** From this many attempts on, `manyAttemptsRetryCapMs` bounds the delay: the job may be what silences its upstreams. */
const manyAttempts = 8
const manyAttemptsRetryCapMs = 120_000

export interface ChooseCommandOptions {
  job: JobRecord
  fence: number
  outcome: GangOutcome
  now: Date
  /** Returns a number between 0 and 1, for jitter. */
  random: () => number
  /** The retry limit of the workspace's contract; 0 if retries are not allowed. */
  retriesPerSecond: number
  /** Takes a retry from the budgets and returns its delay in milliseconds. */
  takeRetry: () => number
}

export function chooseCommand(opts: ChooseCommandOptions): Command {
  const { job, fence, outcome, now } = opts
  const head = { at: now.toISOString(), jobId: job.jobId, fence }
  if (outcome.kind === 'finished') return { type: 'job.finish', ...head, parts: outcome.parts }
  const { reason, startSent } = outcome
  const mayHaveRun = job.startCommitted && startSent
  if (job.cancelRequested) {
    const when = mayHaveRun ? 'after' : 'before'
    const cancelReason = `cancelled ${when} its start: ${reason}`
    return { type: 'job.ended', ...head, outcome: 'cancelled', reason: cancelReason }
  }
  if (outcome.kind === 'preempted') return requeuePreempted(opts, outcome)
  const { failure } = outcome
  const end = mayHaveRun ? pickFinalState(opts, outcome) : undefined
  if (end !== undefined) {
    return { type: 'job.ended', ...head, outcome: end.state, reason: end.reason, failure }
  }
  const retryAt = new Date(now.getTime() + computeRetryDelayMs(opts)).toISOString()
  const countsAsFailure = mayHaveRun && outcome.kind !== 'silent'
  return { type: 'job.requeue', ...head, reason, retryAt, startSent, countsAsFailure, failure }
}

/** Requeues the job without a delay and without taking a retry, as preemption is not a failure of the job. */
function requeuePreempted(
  { job, fence, now }: ChooseCommandOptions,
  outcome: GangPreempted,
): Command {
  const { reason, startSent, checkpointId } = outcome
  const at = now.toISOString()
  const head = { at, jobId: job.jobId, fence, retryAt: at }
  const { repeatable } = job.request
  if (job.startCommitted && startSent && !repeatable && checkpointId === undefined) {
    return { type: 'job.ended', at, jobId: job.jobId, fence, outcome: 'unknown', reason }
  }
  return { type: 'job.requeue', ...head, reason, startSent, countsAsFailure: false, checkpointId }
}

interface FinalState {
  readonly state: 'failed' | 'unknown'
  readonly reason: string
}

/** Picks the final state of a job that may have run. Returns undefined if it is retried. */
function pickFinalState(
  { job, retriesPerSecond }: ChooseCommandOptions,
  outcome: GangAborted,
): FinalState | undefined {
  const { kind, reason, failure } = outcome
  if (!job.request.repeatable) return { state: kind === 'failed' ? 'failed' : 'unknown', reason }
  const upstreams = new Set([...job.failedUpstreamIds, failure?.upstreamId])
  upstreams.delete(undefined)
  if (failure !== undefined && upstreams.size >= failedUpstreamsMax) {
    return { state: 'failed', reason: `${reason}; it failed on ${[...upstreams].join(', ')}` }
  }
  if (retriesPerSecond === 0) {
    const state = kind === 'silent' ? 'unknown' : 'failed'
    return { state, reason: `${reason}; its contract allows no retries` }
  }
  if (kind === 'silent') return undefined
  const attempts = job.failedAttempts + 1
  if (attempts < failedAttemptsMax) return undefined
  return { state: 'failed', reason: `${reason}; ${attempts} attempts did not finish` }
}

/** Adds the delay that the retry budgets ask for to exponential backoff with full jitter. */
function computeRetryDelayMs({ job, random, takeRetry }: ChooseCommandOptions): number {
  const capMs = job.attempts < manyAttempts ? retryCapMs : manyAttemptsRetryCapMs
  const boundMs = Math.min(capMs, retryBaseMs * 2 ** Math.min(job.attempts, 16))
  return Math.round(takeRetry() + random() * boundMs)
}
