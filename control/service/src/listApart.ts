/** Jobs that are placed by themselves, away from the upstreams on which their tasks have failed. */
import type { ControlState, JobRecord } from '@nettlespur/control.state'
import type { PlacementPolicy, PlacementView, WaitingJob } from '@nettlespur/placement.engine'

/** After this long in the queue, a job is placed as all others are. */
const apartForMs = 60_000

export interface ListApartOptions {
  policy: PlacementPolicy
  view: PlacementView
  state: ControlState
  now: Date
}

/** A waiting job with the upstreams that may hold it. */
export interface ApartJob {
  readonly job: WaitingJob
  readonly upstreams: PlacementView['upstreams']
}

/** Only jobs that the other upstreams could hold. */
export function listApart({ policy, view, state, now }: ListApartOptions): ApartJob[] {
  return view.waiting.flatMap((job) => {
    const record = state.getLiveJob(job.jobId)
    if (record === undefined || record.failedUpstreamIds.length === 0) return []
    if (now.getTime() - readQueuedMs(record) >= apartForMs) return []
    const failed = new Set(record.failedUpstreamIds)
    const upstreams = view.upstreams.filter((upstream) => !failed.has(upstream.upstreamId))
    return policy.canEverFit(job, upstreams) ? [{ job, upstreams }] : []
  })
}

function readQueuedMs({ decisions, submittedAt }: JobRecord): number {
  const requeued = decisions.findLast((decision) => decision.event === 'job.requeued')
  return Date.parse(requeued?.at ?? submittedAt)
}
