/**
 * One round of placement. Besides what the policy decides for all, a job whose task failed on an upstream
 * is placed apart from it where others can hold it, and a quarantined upstream is probed with stoppable jobs.
 */
import type { ControlState } from '@nettlespur/control.state'
import type {
  Block,
  PlacementDecision,
  PlacementPolicy,
  PlacementView,
  WaitingJob,
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
  const taken = new Set(probes.map((decision) => decision.jobId))
  const view = withPlaced(opts.view, probes)
  const apart = view.waiting.filter(
    (job) => !taken.has(job.jobId) && listAvoided(opts, job).size > 0,
  )
  for (const job of apart) taken.add(job.jobId)
  const waiting = view.waiting.filter((job) => !taken.has(job.jobId))
  const decisions = [...probes, ...opts.policy.decide({ ...view, waiting })]
  for (const job of apart) {
    const avoided = listAvoided(opts, job)
    const upstreams = view.upstreams.filter((upstream) => !avoided.has(upstream.upstreamId))
    const left = withPlaced(opts.view, decisions)
    decisions.push(...opts.policy.decide({ ...left, upstreams, waiting: [job] }))
  }
  return decisions
}

/** Where the job failed, as long as the rest could hold it. */
function listAvoided({ state, policy, view }: DecideRoundOptions, job: WaitingJob): Set<string> {
  const avoided = new Set(state.getLiveJob(job.jobId)?.failedUpstreamIds ?? [])
  if (avoided.size === 0) return avoided
  const rest = view.upstreams.filter((upstream) => !avoided.has(upstream.upstreamId))
  return policy.canEverFit(job, rest) ? avoided : new Set()
}

/** The view in which these jobs are placed already. */
function withPlaced(view: PlacementView, decisions: readonly PlacementDecision[]): PlacementView {
  const jobs = new Map(view.waiting.map((job) => [job.jobId, job]))
  const held = decisions.flatMap((decision) => {
    const job = jobs.get(decision.jobId)
    if (decision.kind !== 'place' || job === undefined) return []
    return decision.blocks.map((block) => hold(job, block))
  })
  return { ...view, held: [...view.held, ...held] }
}

function hold(job: WaitingJob, block: Block): PlacementView['held'][number] {
  const share = block.acceleratorIndexes.length / job.gang.accelerators
  const { workspace } = job
  const cpuCores = job.cpuCores * share
  return { ...block, workspace, cpuCores, memoryBytes: job.memoryBytes * share }
}
