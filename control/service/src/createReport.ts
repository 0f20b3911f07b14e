/** Reports completion times of the finished jobs still kept, and the fragmentation of free accelerators. */
import type { Shape, UpstreamView } from '@nettlespur/api.schemas'
import type { ClusterReport } from '@nettlespur/control.api'
import type { ControlState, JobRecord } from '@nettlespur/control.state'
import { measureUnusableShare, type PlacementView } from '@nettlespur/placement.engine'
import * as hdr from 'hdr-histogram-js'
import { createPlacementView } from './createPlacementView.js'

const highestTrackableMs = 604_800_000
const medianPercentile = 50
const highPercentile = 99

type Quantiles = ClusterReport['cluster']['completion']

export function createReport(
  state: ControlState,
  upstreams: readonly UpstreamView[],
  now: Date,
): ClusterReport {
  const view = createPlacementView({ state, upstreams, now })
  const finished = state.listEndedJobs().filter((job) => job.state === 'finished')
  const workspaces = state.listContracts().map(({ contract }) => contract.workspace)
  return {
    cluster: {
      completion: measureCompletion(finished),
      freeAccelerators: countReady(view) - countHeldOnReady(view),
      totalAccelerators: countReady(view),
    },
    workspaces: workspaces.map((workspace) => ({
      workspace,
      completion: measureCompletion(finished.filter((job) => job.request.workspace === workspace)),
    })),
    fragmentation: listShapes(state).map((shape) => ({
      ...shape,
      unusableShare: measureUnusableShare(view, shape),
    })),
  }
}

/** Measures the time from submission to end. */
function measureCompletion(jobs: readonly JobRecord[]): Quantiles {
  const histogram = hdr.build({
    highestTrackableValue: highestTrackableMs,
    numberOfSignificantValueDigits: 3,
  })
  for (const job of jobs) {
    const durationMs = Date.parse(job.endedAt ?? job.submittedAt) - Date.parse(job.submittedAt)
    histogram.recordValue(Math.min(Math.max(0, durationMs), highestTrackableMs))
  }
  const count = histogram.totalCount
  return {
    count,
    meanMs: count === 0 ? 0 : histogram.mean,
    p50Ms: count === 0 ? 0 : histogram.getValueAtPercentile(medianPercentile),
    p99Ms: count === 0 ? 0 : histogram.getValueAtPercentile(highPercentile),
  }
}

function countReady({ upstreams }: PlacementView): number {
  return upstreams
    .filter((upstream) => upstream.state === 'ready')
    .reduce((sum, upstream) => sum + upstream.accelerators, 0)
}

function countHeldOnReady({ upstreams, running }: PlacementView): number {
  const ready = upstreams.filter((upstream) => upstream.state === 'ready')
  const readyIds = new Set(ready.map((upstream) => upstream.upstreamId))
  return running
    .flatMap((gang) => gang.blocks)
    .filter((block) => readyIds.has(block.upstreamId))
    .reduce((sum, block) => sum + block.acceleratorIndexes.length, 0)
}

/** Lists the distinct shapes of guarantees and of queued jobs. */
function listShapes(state: ControlState): Shape[] {
  const guaranteed = state.listContracts().flatMap(({ contract }) => contract.guarantees)
  const queued = state.listLiveJobs().filter((job) => job.state === 'queued')
  const shapes = [...guaranteed, ...queued.map((job) => job.request.gang)]
  const byName = new Map<string, Shape>()
  for (const { accelerators, adjacency } of shapes) {
    byName.set(`${accelerators} ${adjacency}`, { accelerators, adjacency })
  }
  return [...byName.values()]
}
