/**
 * Plans a round in spite of jobs that make planning fail: these are found and left out, so that a fault in deciding one job
 * holds up no other job.
 */
import type { JobRecord } from '@nettlespur/batch.state'
import { planRound } from './planRound.js'
import type { RoundDecision, SchedulerView } from './schedulerView.js'

/** A job that makes planning fail as the only job of a round. */
export interface JobFault {
  readonly jobId: string
  readonly cause: unknown
}

export interface SafeRound {
  readonly decision: RoundDecision
  /** The jobs that were left out; empty unless planning with all jobs failed. */
  readonly faults: readonly JobFault[]
}

/** Errors: throws what planning throws if no single job is the cause. */
export function planRoundSafely(view: SchedulerView): SafeRound {
  try {
    return { decision: planRound(view), faults: [] }
  } catch (thrown) {
    const faults = view.jobs.flatMap((job) => findFault(job, view))
    if (faults.length === 0) throw thrown
    const faultyIds = new Set(faults.map(({ jobId }) => jobId))
    const jobs = view.jobs.filter(({ request }) => !faultyIds.has(request.jobId))
    return { decision: planRound({ ...view, jobs }), faults }
  }
}

function findFault(job: JobRecord, view: SchedulerView): JobFault[] {
  try {
    planRound({ ...view, jobs: [job] })
    return []
  } catch (cause) {
    return [{ jobId: job.request.jobId, cause }]
  }
}
