/** Puts together what a scheduling round looks at, from the committed state and what sessions have seen. */
import type { Resources, StepSpec, TaskRef } from '@nettlespur/batch.model'
import {
  addResources,
  measureCores,
  noResources,
  type ActiveRun,
  type SchedulerView,
  type SchedulableUpstream,
} from '@nettlespur/batch.scheduler'
import type { RunTrack } from '@nettlespur/batch.sessions'
import type { BatchState, Placement, UpstreamRecord } from '@nettlespur/batch.state'

/** A stop saves a checkpoint; what is lost then is the time until the task is at work again. */
const restartSeconds = 1
const milliseconds = 1000
const wholePercent = 100
/** Below it, a start-up that took long would count for the whole run. */
const meaningfulPercent = 20

export interface ListRunsOptions {
  state: BatchState
  nowMs: number
  isStopping: (placement: Placement) => boolean
  findTrack: (placement: Placement) => RunTrack | undefined
}

export interface BuildViewOptions extends ListRunsOptions {
  acceptedAtMs: ReadonlyMap<string, number>
  isUsable: (upstream: UpstreamRecord) => boolean
  /** A run on trial has just started there. */
  hasTrial: (upstream: UpstreamRecord) => boolean
  /** See `UpstreamRoom`. */
  isQuiet: (upstream: UpstreamRecord) => boolean
  /** The task waits for a moment, as its last starts came to nothing. */
  isPaused: (task: TaskRef) => boolean
}

export function buildView(opts: BuildViewOptions): SchedulerView {
  const { state, nowMs, acceptedAtMs } = opts
  let runs: readonly ActiveRun[] | undefined
  const usable = [...state.upstreams.values()].filter((upstream) => opts.isUsable(upstream))
  const workspaces = state.config?.workspaces ?? []
  return {
    nowMs,
    jobs: [...state.unsettled.values()],
    acceptedAtMs,
    upstreams: usable.map((upstream) => buildRoom(opts, upstream)),
    isPaused: opts.isPaused,
    isProven: (placement) => opts.findTrack(placement)?.isProven === true,
    // Only rounds in which something does not fit look at what runs.
    get runs() {
      return (runs ??= usable.flatMap(({ description }) => listRuns(opts, description.upstreamId)))
    },
    guarantees: new Map(
      workspaces.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]),
    ),
  }
}

function buildRoom(opts: BuildViewOptions, upstream: UpstreamRecord): SchedulableUpstream {
  const { upstreamId, pool, rack, labels, capacity } = upstream.description
  const known = { upstreamId, pool, rack, labels, capacity }
  if (opts.hasTrial(upstream)) {
    return { ...known, free: noResources, freeAfterStops: noResources, isSuitableForTrial: false }
  }
  let used: Resources = noResources
  let stopping: Resources = noResources
  for (const placement of opts.state.placements.on(upstreamId).values()) {
    const needs = findStep(opts.state, placement)?.needs ?? noResources
    used = addResources(used, needs)
    if (opts.isStopping(placement)) stopping = addResources(stopping, needs)
  }
  const free = addResources(capacity, used, -1)
  return {
    ...known,
    free,
    freeAfterStops: addResources(free, stopping),
    // Only starts on trial ask for it.
    get isSuitableForTrial() {
      return opts.isQuiet(upstream)
    },
  }
}

/** What runs on one upstream, and when it is expected to end. */
export function listRuns(opts: ListRunsOptions, upstreamId: string): ActiveRun[] {
  return [...opts.state.placements.on(upstreamId).values()].map((placement) => {
    const step = findStep(opts.state, placement)
    const track = opts.findTrack(placement)
    return {
      placement,
      needs: step?.needs ?? noResources,
      expectedEndMs: estimateEndMs(opts.nowMs, step, track),
      isStopping: opts.isStopping(placement),
      stopCostCoreSeconds: measureStopCost(opts.nowMs, step, track),
    }
  })
}

/** By its progress once that says something, else by its declared run time. */
function estimateEndMs(
  nowMs: number,
  step: StepSpec | undefined,
  track: RunTrack | undefined,
): number {
  const declaredMs = step?.expectedRunTimeMs ?? 0
  if (track === undefined) return nowMs + declaredMs
  const { startedAtMs, progressPercent } = track
  const declaredEndMs = Math.max(nowMs, startedAtMs + declaredMs)
  if (progressPercent < meaningfulPercent) return declaredEndMs
  const elapsedMs = nowMs - startedAtMs
  return nowMs + (elapsedMs * (wholePercent - progressPercent)) / progressPercent
}

function measureStopCost(
  nowMs: number,
  step: StepSpec | undefined,
  track: RunTrack | undefined,
): number {
  if (step === undefined) return 0
  const runSeconds = (nowMs - (track?.startedAtMs ?? nowMs)) / milliseconds
  const lostSeconds = step.checkpoints ? Math.min(restartSeconds, runSeconds) : runSeconds
  return lostSeconds * measureCores(step.needs)
}

function findStep(state: BatchState, { jobId, step }: Placement): StepSpec | undefined {
  return state.jobs.get(jobId)?.request.steps[step]
}
