/** What is committed about a job once an attempt is over and all its members are known to be stopped. */
import type { Command, JobRecord } from '@nettlespur/control.state'
import type { GangBroken, GangOutcome } from './gangOutcome.js'

/** Started attempts in which a task failed by itself, before the job is told to be at fault. */
const failedAttemptsMax = 3
/** Started attempts that lost a member, before the job is given up. */
const lostAttemptsMax = 8
const retryBaseMs = 100
const retryCapMs = 15_000

export interface ChooseCommandOptions {
  job: JobRecord
  fence: number
  outcome: GangOutcome
  now: Date
  /** Between 0 and 1, for jitter. */
  random: () => number
}

export function chooseCommand(opts: ChooseCommandOptions): Command {
  const { job, fence, outcome, now } = opts
  const head = { at: now.toISOString(), jobId: job.jobId, fence }
  if (outcome.kind === 'finished') return { type: 'job.finish', ...head, parts: outcome.parts }
  const { reason } = outcome
  if (job.cancelRequested) {
    const when = job.startCommitted && outcome.startSent ? 'after' : 'before'
    return {
      type: 'job.ended',
      ...head,
      outcome: 'cancelled',
      reason: `cancelled ${when} its start: ${reason}`,
    }
  }
  const mayHaveRun = job.startCommitted && outcome.startSent
  const end = mayHaveRun ? pickEnd(job, outcome) : undefined
  if (end !== undefined) return { type: 'job.ended', ...head, outcome: end, reason }
  return {
    type: 'job.requeue',
    ...head,
    reason,
    retryAt: new Date(now.getTime() + pickDelayMs(opts)).toISOString(),
    startSent: outcome.startSent,
    countsAsFailure: mayHaveRun,
  }
}

/** The final state of a started job; undefined where it is tried again. */
function pickEnd(job: JobRecord, outcome: GangBroken): 'failed' | 'unknown' | undefined {
  const failed = outcome.kind === 'failed'
  if (!job.request.repeatable) return failed ? 'failed' : 'unknown'
  const most = failed ? failedAttemptsMax : lostAttemptsMax
  return job.failedAttempts + 1 >= most ? 'failed' : undefined
}

/** Full jitter over a bound that doubles with each attempt. */
function pickDelayMs({ job, random }: ChooseCommandOptions): number {
  return Math.round(random() * Math.min(retryCapMs, retryBaseMs * 2 ** Math.min(job.attempts, 16)))
}
