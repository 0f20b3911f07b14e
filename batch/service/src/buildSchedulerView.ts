/** Builds the input of a scheduling round from the committed state and from what the sessions have observed. */
import type { Resources, StepSpec, TaskRef } from '@nettlespur/batch.model'
import {
  addResources,
  measureCores,
  noResources,
  type ActiveRun,
  type ClaimBounds,
  type HeadroomView,
  type SchedulerView,
  type SchedulableUpstream,
  type UpstreamAvailability,
} from '@nettlespur/batch.scheduler'
import type { RunTrack } from '@nettlespur/batch.sessions'
import type { SpeedDistribution } from '@nettlespur/batch.speeds'
import type { BatchState, Placement, UpstreamRecord } from '@nettlespur/batch.state'

/** Work lost by stopping a run with checkpoints: the time until the task works again, since a stop saves a checkpoint. */
const restartSeconds = 1
const milliseconds = 1000
const wholePercent = 100
/** Below this progress, extrapolating from it would take a long start-up for the pace of the whole run. */
const minProgressPercent = 20

export interface ListRunsOptions {
  state: BatchState
  nowMs: number
  isStopping: (placement: Placement) => boolean
  /** See `SessionHost`. */
  listPlacements: (upstreamId: string) => ReadonlyMap<string, Placement>
  findTrack: (placement: Placement) => RunTrack | undefined
}

export interface BuildSchedulerViewOptions extends ListRunsOptions {
  /** How fast an upstream works, as far as that is known. */
  getSpeed: (upstreamId: string) => SpeedDistribution
  acceptedAtMs: ReadonlyMap<string, number>
  /** Returns undefined for upstreams that drain, have left or are evacuated. */
  getAvailability: (upstream: UpstreamRecord) => UpstreamAvailability | undefined
  /** Whether it has started lately and is slow for a while. */
  isCold: (upstream: UpstreamRecord) => boolean
  /** Whether it has lately crashed, been lost, come back or failed runs. */
  isUnstable: (upstream: UpstreamRecord) => boolean
  /** Whether a run on trial has just started there. */
  hasTrial: (upstream: UpstreamRecord) => boolean
  /** See `UpstreamRoom`. */
  isQuiet: (upstream: UpstreamRecord) => boolean
  /** Whether the job is not to be decided for now. */
  isLeftOut: (jobId: string) => boolean
  /** Whether the task is in backoff after failed starts. */
  isPaused: (task: TaskRef) => boolean
  /** See `SchedulerView`. */
  starvedMs: SchedulerView['starvedMs']
  /** See `SchedulerView`. */
  claimBounds?: ClaimBounds | undefined
  /** See `SchedulerView`. */
  headroom?: HeadroomView | undefined
}

export function buildSchedulerView(opts: BuildSchedulerViewOptions): SchedulerView {
  const { state, nowMs, acceptedAtMs } = opts
  let runs: readonly ActiveRun[] | undefined
  let evacuated: readonly SchedulableUpstream[] | undefined
  let upstreams: readonly SchedulableUpstream[] | undefined
  const getUpstreams = (): readonly SchedulableUpstream[] => (upstreams ??= listUpstreams(opts))
  const workspaces = state.config?.workspaces ?? []
  return {
    nowMs,
    queues: state.config?.queues ?? [],
    jobs: [...state.unsettled.values()].filter(({ request }) => !opts.isLeftOut(request.jobId)),
    acceptedAtMs,
    // Computed on demand: only rounds in which something waits look at them.
    get upstreams() {
      return getUpstreams()
    },
    // Computed on demand: only rounds that leave units waiting look at them.
    get evacuated() {
      return (evacuated ??= listEvacuated(opts))
    },
    isPaused: opts.isPaused,
    starvedMs: opts.starvedMs,
    isProven: (placement) => opts.findTrack(placement)?.isProven === true,
    // Computed on demand: only rounds in which something does not fit look at the runs.
    get runs() {
      return (runs ??= getUpstreams()
        .filter(({ availability }) => availability !== 'excluded')
        .flatMap(({ upstreamId }) => listRuns(opts, upstreamId)))
    },
    guarantees: new Map(
      workspaces.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]),
    ),
    claimBounds: opts.claimBounds,
    headroom: opts.headroom,
  }
}

/** Lists the upstreams that neither drain, have left nor are evacuated. */
function listUpstreams(opts: BuildSchedulerViewOptions): SchedulableUpstream[] {
  return [...opts.state.upstreams.values()].flatMap((upstream) => {
    const availability = opts.getAvailability(upstream)
    return availability === undefined ? [] : [buildCapacity(opts, upstream, availability)]
  })
}

function buildCapacity(
  opts: BuildSchedulerViewOptions,
  upstream: UpstreamRecord,
  availability: UpstreamAvailability,
): SchedulableUpstream {
  const { upstreamId, pool, rack, labels, capacity } = upstream.description
  const known = {
    upstreamId,
    availability,
    pool,
    rack,
    labels,
    capacity,
    isCold: opts.isCold(upstream),
    speed: opts.getSpeed(upstreamId),
    isUnstable: opts.isUnstable(upstream),
  }
  if (opts.hasTrial(upstream)) {
    return { ...known, free: noResources, freeAfterStops: noResources, isSuitableForTrial: false }
  }
  let used: Resources = noResources
  let stopping: Resources = noResources
  for (const placement of opts.listPlacements(upstreamId).values()) {
    const needs = findStep(opts.state, placement)?.needs ?? noResources
    used = addResources(used, needs)
    if (opts.isStopping(placement)) stopping = addResources(stopping, needs)
  }
  const free = addResources(capacity, used, -1)
  return {
    ...known,
    free,
    freeAfterStops: addResources(free, stopping),
    // Computed on demand: only starts on trial need it.
    get isSuitableForTrial() {
      return opts.isQuiet(upstream)
    },
  }
}

/** Upstreams that could get new work if their data centres were not evacuated. */
function listEvacuated(opts: BuildSchedulerViewOptions): SchedulableUpstream[] {
  const { upstreams, evacuations } = opts.state
  if (evacuations.listInForce().length === 0) return []
  return [...upstreams.values()].flatMap((upstream) => {
    const { description, isDraining, hasLeft } = upstream
    const isEvacuated = opts.state.isEvacuated(description.upstreamId)
    return isDraining || hasLeft || !isEvacuated ? [] : [buildCapacity(opts, upstream, 'usable')]
  })
}

/** Lists the runs on one upstream, with their expected ends and the cost of stopping them. */
export function listRuns(opts: ListRunsOptions, upstreamId: string): ActiveRun[] {
  return [...opts.listPlacements(upstreamId).values()].map((placement) => {
    const step = findStep(opts.state, placement)
    const track = opts.findTrack(placement)
    return {
      placement,
      needs: step?.needs ?? noResources,
      expectedEndMs: estimateEndMs(opts.nowMs, step?.expectedRunTimeMs ?? 0, track),
      isStopping: opts.isStopping(placement),
      stopCostCoreSeconds: measureStopCost(opts.nowMs, step, track),
    }
  })
}

/** Extrapolates from the progress once that is meaningful; until then uses the expected run time. */
function estimateEndMs(nowMs: number, runTimeMs: number, track: RunTrack | undefined): number {
  if (track === undefined) return nowMs + runTimeMs
  const { startedAtMs, progressPercent } = track
  if (progressPercent < minProgressPercent) return Math.max(nowMs, startedAtMs + runTimeMs)
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
