/**
 * Plans a round in spite of jobs that make planning fail: these are found and left out, so that a fault which the content of one
 * job brings about holds up no other job.
 */
import type { JobRecord } from '@nettlespur/batch.state'
import { planRound } from './planRound.js'
import type { RoundDecision, SchedulerView } from './schedulerView.js'

/** A job that makes planning fail, even as the only one. */
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
export function planRoundSafely(view: SchedulerView, plan = planRound): SafeRound {
  try {
    return { decision: plan(view), faults: [] }
  } catch (thrown) {
    const faults = view.jobs.flatMap((job) => findFault(job, view, plan))
    if (faults.length === 0) throw thrown
    const faultyIds = new Set(faults.map(({ jobId }) => jobId))
    const jobs = view.jobs.filter(({ request }) => !faultyIds.has(request.jobId))
    return { decision: plan({ ...view, jobs }), faults }
  }
}

function findFault(job: JobRecord, view: SchedulerView, plan: typeof planRound): JobFault[] {
  try {
    plan({ ...view, jobs: [job] })
    return []
  } catch (cause) {
    return [{ jobId: job.request.jobId, cause }]
  }
}
