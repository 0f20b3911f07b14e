/**
 * One round of placement. Besides what the policy decides for all, a job whose task failed on an upstream
 * is placed apart from it where others can hold it, and a quarantined upstream is probed with stoppable jobs.
 */
import type { ControlState } from '@nettlespur/control.state'
import {
  startGang,
  type PlaceDecision,
  type PlacementDecision,
  type PlacementPolicy,
  type PlacementView,
  type WaitingJob,
} from '@nettlespur/placement.engine'
import { decideProbes } from './decideProbes.js'
import type { Preemption } from './listMoves.js'

export interface DecideRoundOptions {
  policy: PlacementPolicy
  view: PlacementView
  state: ControlState
  now: Date
}

export type RoundDecision = PlacementDecision | Preemption

export function decideRound(opts: DecideRoundOptions): PlacementDecision[] {
  const probes = decideProbes(opts)
  const view = assumePlaced(opts.view, probes)
  const waiting = view.waiting.map((job) => addAvoidedUpstreams(opts, job))
  return [...probes, ...opts.policy.decide({ ...view, waiting })]
}

/** A job avoids where it failed, as long as the rest could hold it. */
function addAvoidedUpstreams(
  { state, policy, view }: DecideRoundOptions,
  job: WaitingJob,
): WaitingJob {
  const failedIds = state.getLiveJob(job.jobId)?.failedUpstreamIds ?? []
  if (failedIds.length === 0) return job
  const avoidedUpstreamIds = new Set(failedIds)
  const rest = view.upstreams.filter((upstream) => !avoidedUpstreamIds.has(upstream.upstreamId))
  return policy.canEverFit(job, rest) ? { ...job, avoidedUpstreamIds } : job
}

/** The view in which these jobs are placed already. */
function assumePlaced(view: PlacementView, probes: readonly PlaceDecision[]): PlacementView {
  const blocks = new Map(probes.map((probe) => [probe.jobId, probe.blocks]))
  const placed = view.waiting.flatMap((job) => {
    const found = blocks.get(job.jobId)
    return found === undefined ? [] : [startGang(job, found)]
  })
  const waiting = view.waiting.filter((job) => !blocks.has(job.jobId))
  return { ...view, running: [...view.running, ...placed], waiting }
}
