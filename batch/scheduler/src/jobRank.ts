/** The order in which jobs get capacity: guaranteed work first, then by timeliness, priority and latest start. */
import type { JobRecord } from '@nettlespur/batch.state'
import { computeTiming, type JobTiming, type Timeliness } from './jobTiming.js'
import type { SchedulerView } from './schedulerView.js'

const timelinessRank: Readonly<Record<Timeliness, number>> = { 'on-time': 0, late: 1, none: 2 }

export interface JobRank extends JobTiming {
  readonly job: JobRecord
  readonly isGuaranteed: boolean
}

export function rankJob(
  job: JobRecord,
  { acceptedAtMs, nowMs }: Pick<SchedulerView, 'acceptedAtMs' | 'nowMs'>,
  isGuaranteed: boolean,
): JobRank {
  const jobAcceptedAtMs = acceptedAtMs.get(job.request.jobId) ?? nowMs
  return { job, isGuaranteed, ...computeTiming(job, jobAcceptedAtMs, nowMs) }
}

/** Returns a negative number if `left` goes before `right`, and 0 only for the same job. */
export function compareJobRanks(left: JobRank, right: JobRank): number {
  return (
    Number(right.isGuaranteed) - Number(left.isGuaranteed) ||
    timelinessRank[left.timeliness] - timelinessRank[right.timeliness] ||
    left.job.queue.priority - right.job.queue.priority ||
    left.latestStartMs - right.latestStartMs ||
    left.job.number - right.job.number
  )
}
