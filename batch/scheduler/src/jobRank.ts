/**
 * The order in which jobs get capacity: guaranteed work first, and due claims before its others; then by timeliness,
 * priority and latest start.
 */
import type { JobRecord } from '@nettlespur/batch.state'
import { isClaimDue } from './claimBounds.js'
import { computeTiming, type JobTiming, type Timeliness } from './jobTiming.js'
import type { SchedulerView } from './schedulerView.js'

const timelinessRank: Readonly<Record<Timeliness, number>> = { 'on-time': 0, late: 1, none: 2 }

export interface JobRank extends JobTiming {
  readonly job: JobRecord
  readonly isGuaranteed: boolean
  /** Whether it has to get its guaranteed capacity at once to start within its bound. */
  readonly isDue: boolean
}

export function rankJob(
  job: JobRecord,
  {
    acceptedAtMs,
    nowMs,
    claimBounds,
  }: Pick<SchedulerView, 'acceptedAtMs' | 'nowMs' | 'claimBounds'>,
  isGuaranteed: boolean,
): JobRank {
  const jobAcceptedAtMs = acceptedAtMs.get(job.request.jobId) ?? nowMs
  const timing = computeTiming(job, jobAcceptedAtMs, nowMs)
  const isDue = isClaimDue({ isGuaranteed, waitedMs: timing.waitedMs }, claimBounds)
  return { job, isGuaranteed, isDue, ...timing }
}

/** Returns a negative number if `left` goes before `right`, and 0 only for the same job. */
export function compareJobRanks(left: JobRank, right: JobRank): number {
  return (
    Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
    compareDue(left, right) ||
    timelinessRank[left.timeliness] - timelinessRank[right.timeliness] ||
    left.job.queue.priority - right.job.queue.priority ||
    left.latestStartMs - right.latestStartMs ||
    left.job.number - right.job.number
  )
}

/** Due claims go first, in the order of their bounds; otherwise newer claims could take what was stopped for them. */
function compareDue(left: JobRank, right: JobRank): number {
  const order = Number(right.isDue) - Number(left.isDue)
  return order === 0 && left.isDue ? left.job.number - right.job.number : order
}
