/**
 * Places urgent jobs first, then by order of submission, each where it breaks up the least. A job that
 * does not fit keeps the free accelerators of the upstream or rack that is nearest to holding it from the
 * jobs behind it, so that scattered small jobs do not starve it; one job of each workspace does.
 */
import type { UpstreamView } from '@nettlespur/api.schemas'
import { fitGang } from './fitGang.js'
import { holdFormingBlock } from './holdFormingBlock.js'
import type { PlacementDecision } from './placementDecision.js'
import { PlacementPolicy } from './placementPolicy.js'
import type { Block, Demand, PlacementView, WaitingJob } from './placementView.js'
import { Topology } from './topology.js'

export class BestFitPolicy extends PlacementPolicy {
  decide(view: PlacementView): PlacementDecision[] {
    const topology = new Topology(view.upstreams, view.held)
    const usage = countUsage(view)
    const forming = new Set<string>()
    return orderJobs(view.waiting).map((job) => {
      const heldBack = job.heldBack ?? findLimit(job, usage, view)
      if (heldBack !== undefined) return wait(job, heldBack)
      const blocks = fitGang(topology, job)
      if (blocks === undefined) return this.#holdBack(job, topology, view, forming)
      topology.takeAll(blocks, job)
      usage.set(job.workspace, (usage.get(job.workspace) ?? 0) + job.gang.accelerators)
      return { kind: 'place', jobId: job.jobId, blocks, reason: describeFit(job, blocks) }
    })
  }

  canEverFit(demand: Demand, upstreams: readonly UpstreamView[]): boolean {
    const emptied = upstreams.map((view): UpstreamView => ({ ...view, state: 'ready' }))
    return fitGang(new Topology(emptied, []), demand) !== undefined
  }

  /** `forming` names the workspaces that keep a place already: one waiting job of each does. */
  #holdBack(
    job: WaitingJob,
    topology: Topology,
    view: PlacementView,
    forming: Set<string>,
  ): PlacementDecision {
    const free = topology.freeCount
    const asked = describeGang(job)
    if (!this.canEverFit(job, view.upstreams)) {
      return wait(job, `no set of the known upstreams can hold ${asked}`)
    }
    const kept = forming.has(job.workspace) ? [] : holdFormingBlock(topology, job)
    forming.add(job.workspace)
    const keeps = kept.length === 0 ? '' : `; keeps the free ones of ${kept.join(', ')} for it`
    return wait(job, `no room for ${asked}: ${free} accelerators are free, not so adjacent${keeps}`)
  }
}

function wait(job: WaitingJob, reason: string): PlacementDecision {
  return { kind: 'wait', jobId: job.jobId, reason }
}

function orderJobs(waiting: readonly WaitingJob[]): WaitingJob[] {
  const urgent = waiting.filter((job) => job.urgency === 'urgent')
  const normal = waiting.filter((job) => job.urgency !== 'urgent')
  return [...urgent, ...normal]
}

function countUsage(view: PlacementView): Map<string, number> {
  const usage = new Map<string, number>()
  for (const { workspace, acceleratorIndexes } of view.held) {
    usage.set(workspace, (usage.get(workspace) ?? 0) + acceleratorIndexes.length)
  }
  return usage
}

function findLimit(
  job: WaitingJob,
  usage: ReadonlyMap<string, number>,
  view: PlacementView,
): string | undefined {
  const limit = view.acceleratorLimits.get(job.workspace) ?? 0
  const used = usage.get(job.workspace) ?? 0
  if (used + job.gang.accelerators <= limit) return undefined
  return `workspace ${job.workspace} holds ${used} of the ${limit} accelerators its contract allows at once`
}

function describeGang({ gang }: Demand): string {
  const place = gang.adjacency === 'none' ? 'anywhere' : `on one ${gang.adjacency}`
  return `${gang.accelerators} accelerators ${place}`
}

function describeFit(job: WaitingJob, blocks: readonly Block[]): string {
  const places = blocks.map((block) => `${block.upstreamId}[${block.acceleratorIndexes.join(',')}]`)
  return `best fit for ${describeGang(job)}: ${places.join(' ')}`
}
