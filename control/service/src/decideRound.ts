/**
 * Decides one placement round. In addition to the decisions of the policy, it keeps a job off upstreams
 * where its tasks have failed, as long as other upstreams can hold it, and probes quarantined upstreams with
 * repeatable jobs.
 */
import {
  createPlacedGang,
  type PlaceDecision,
  type PlacementDecision,
  type PlacementView,
  type WaitingJob,
} from '@nettlespur/placement.engine'
import { decideProbes } from './decideProbes.js'
import type { DecideRoundOptions } from './decideRoundOptions.js'
import type { Preemption } from './listMoves.js'

export type RoundDecision = PlacementDecision | Preemption

export function decideRound(opts: DecideRoundOptions): PlacementDecision[] {
  const probes = decideProbes(opts)
  const view = assumePlaced(opts.view, probes)
  const waiting = view.waiting.map((job) => addAvoidedUpstreams(opts, job))
  return [...probes, ...opts.policy.decide({ ...view, waiting })]
}

/** Makes a job avoid upstreams where it has failed, provided that the others could ever hold it. */
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

/** Returns the view as if the probes were already placed. */
function assumePlaced(view: PlacementView, probes: readonly PlaceDecision[]): PlacementView {
  const blocks = new Map(probes.map((probe) => [probe.jobId, probe.blocks]))
  const placed = view.waiting.flatMap((job) => {
    const found = blocks.get(job.jobId)
    return found === undefined ? [] : [createPlacedGang(job, found)]
  })
  const waiting = view.waiting.filter((job) => !blocks.has(job.jobId))
  return { ...view, running: [...view.running, ...placed], waiting }
}
