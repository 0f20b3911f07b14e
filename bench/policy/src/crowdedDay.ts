/** A crowded day of one deployment from a seed; it is the same for every policy. */
import type { ClusterConfig, UpstreamDescription } from '@nettlespur/batch.model'
import type { ClaimBounds } from '@nettlespur/batch.scheduler'
import { SeededRandom } from '@nettlespur/bench.placement'
import { createDayJob } from './createDayJob.js'
import type { DayJob } from './dayJob.js'
import {
  drawCrashingJobs,
  drawFlaps,
  drawPaces,
  drawTroubles,
  noTroubles,
  type DayTroubles,
  type Span,
} from './dayTroubles.js'
import type { Goal } from './goal.js'
import { DemandCurve } from './demandCurve.js'
import { acceleratorsPerUpstream, type Deployment } from './deployment.js'
import type { JobKind } from './jobKind.js'
import { listWorkspaces } from './workspaces.js'

/** An upstream that is lost. */
export interface Loss {
  readonly upstreamId: string
  readonly atMs: number
  /** How long before it says so, and gets no new work; not at all by default. */
  readonly noticeMs?: number
}

/** A data centre in which nothing may start for a time. */
export interface DayEvacuation extends Span {
  readonly dataCentre: string
}

export interface CrowdedDay {
  readonly config: ClusterConfig
  readonly upstreams: readonly UpstreamDescription[]
  /** In order of arrival. */
  readonly jobs: readonly DayJob[]
  readonly losses: readonly Loss[]
  readonly evacuations: readonly DayEvacuation[]
  readonly troubles: DayTroubles
  readonly lengthMs: number
  /** After the last arrival jobs have this long to end. */
  readonly finishMs: number
  /** Whether the day ends once all jobs have ended. */
  readonly endsEarly: boolean
  /** From the order to stop a run to its end. */
  readonly stopMs: number
  /** What the platform says of the start of guaranteed work and of stops. */
  readonly claimBounds: ClaimBounds
  readonly checkpointMs: number
  /** What resuming from a checkpoint takes. */
  readonly restoreMs: number
  readonly goal: Goal
}

/** About the length of an hour's peak as its users replay it. */
const lengthMs = 34_000
/** The time within which guaranteed work must start, unless the deployment states another. */
const usualGuaranteedStartMs = 2900
const usualFinishMs = 14_000
/** From a placement to the task at work, and from a stop to its end: a commit, a call, an answer. */
export const orderMs = 40
const usualCheckpointMs = 2000
const burstMs = 5000
const burstTimes = 2
const lossesPerDay = 2
/** The guarantees of all workspaces together, as a share of all accelerators. */
const guaranteedShare = 0.62
/** How long before its end an upstream announces that it leaves. */
const leavingNoticeMs = 5500

export function createCrowdedDay(deployment: Deployment, seed: number): CrowdedDay {
  const random = new SeededRandom(seed)
  const listArrivals = drawArrivals(random, deployment)
  const jobs = deployment.kinds.flatMap((kind) =>
    listArrivals(kind).map((arriveMs, at) =>
      createDayJob(random, { deployment, kind, arriveMs, jobId: `${kind.name}-${at}` }),
    ),
  )
  const upstreams = createUpstreams(deployment)
  const losses = Array.from({ length: lossesPerDay }, () => ({
    upstreamId: random.pick(upstreams.map(({ upstreamId }) => [upstreamId, 1] as const)),
    atMs: random.between(0, lengthMs),
  }))
  const byArrival = jobs.sort((left, right) => left.arriveMs - right.arriveMs)
  return {
    config: createConfig(deployment),
    upstreams,
    jobs: byArrival,
    losses,
    evacuations: [],
    troubles: { ...noTroubles, paces: drawOwnPaces(deployment, upstreams, seed) },
    lengthMs,
    finishMs: deployment.finishMs ?? usualFinishMs,
    endsEarly: deployment.finishMs !== undefined,
    stopMs: deployment.stopMs ?? orderMs,
    claimBounds: {
      guaranteedStartMsMax: deployment.guaranteedStartMs ?? usualGuaranteedStartMs,
      stopMsMax: deployment.stopMs ?? orderMs,
    },
    checkpointMs: deployment.checkpointMs ?? usualCheckpointMs,
    restoreMs: deployment.restoreMs ?? 0,
    goal: deployment.goal,
  }
}

/** Empty unless the deployment says how fast its upstreams are. */
function drawOwnPaces(
  { paces }: Deployment,
  upstreams: readonly UpstreamDescription[],
  seed: number,
): ReadonlyMap<string, number> {
  if (paces === undefined) return noTroubles.paces
  const upstreamIds = upstreams.map(({ upstreamId }) => upstreamId)
  return drawPaces(new SeededRandom(~seed * 7), upstreamIds, paces)
}

/** The same crowd, and upstreams that fail, hang or turn slow, seconds without a leader, and cancelled jobs. */
export function createTroubledDay(deployment: Deployment, seed: number): CrowdedDay {
  const day = createCrowdedDay(deployment, seed)
  const drawing = {
    upstreamIds: day.upstreams.map(({ upstreamId }) => upstreamId),
    jobIds: day.jobs.map(({ request }) => request.jobId),
    lengthMs,
    shares: deployment.upstreamTroubles,
  }
  const troubles = drawTroubles(new SeededRandom(~seed), drawing)
  const { paces } = hasOwnPaces(deployment) ? day.troubles : troubles
  const troubled = { ...day, troubles: { ...troubles, paces } }
  if (drawing.shares === undefined) return troubled
  const random = new SeededRandom(~seed * 11)
  const flaps = drawFlaps(random, drawing)
  const leaving = drawLeaving(random, drawing.upstreamIds, drawing.shares.leaving)
  return {
    ...troubled,
    troubles: { ...troubled.troubles, flaps },
    losses: [...day.losses, ...leaving],
  }
}

function hasOwnPaces({ isPaceUniform, paces }: Deployment): boolean {
  return isPaceUniform === true || paces !== undefined
}

/** Draws the upstreams that leave at short notice, all at the same moment. */
function drawLeaving(random: SeededRandom, upstreamIds: readonly string[], share: number): Loss[] {
  const atMs = random.between(leavingNoticeMs, lengthMs)
  return upstreamIds
    .filter(() => random.chance(share))
    .map((upstreamId) => ({ upstreamId, atMs, noticeMs: leavingNoticeMs }))
}

/** A troubled day on which some jobs bring down each upstream that starts one of their tasks. */
export function createCrashingDay(deployment: Deployment, seed: number): CrowdedDay {
  const day = createTroubledDay(deployment, seed)
  const jobIds = day.jobs.map(({ request }) => request.jobId)
  const crashingJobs = drawCrashingJobs(new SeededRandom(~seed * 2), jobIds)
  return { ...day, troubles: { ...day.troubles, crashingJobs } }
}

/** Returns the arrivals of a kind. */
type ListArrivals = (kind: JobKind) => number[]

/** By default one kind, which is drawn, comes more often for some seconds; the rest of the day is the same without it. */
function drawArrivals(random: SeededRandom, { kinds, demand }: Deployment): ListArrivals {
  if (demand !== undefined) {
    const curve = new DemandCurve(random, { ...demand, lengthMs })
    return (kind) => curve.listArrivals(random, kind, lengthMs)
  }
  const burstKind = random.pick(kinds.map((kind) => [kind, 1] as const))
  const burstAtMs = random.between(burstMs, lengthMs - 2 * burstMs)
  return (kind) => {
    const inBurst = (atMs: number): boolean =>
      kind === burstKind && atMs >= burstAtMs && atMs < burstAtMs + burstMs
    return listEvenArrivals(random, kind, inBurst)
  }
}

function listEvenArrivals(
  random: SeededRandom,
  { jobsPerSecond }: JobKind,
  inBurst: (atMs: number) => boolean,
): number[] {
  const arrivals: number[] = []
  let atMs = random.exponential(1000 / jobsPerSecond)
  while (atMs < lengthMs) {
    arrivals.push(atMs)
    atMs += random.exponential(1000 / jobsPerSecond / (inBurst(atMs) ? burstTimes : 1))
  }
  return arrivals
}

export function nameDataCentre(at: number): string {
  return `centre-${at}`
}

function createUpstreams(deployment: Deployment): UpstreamDescription[] {
  const {
    upstreamCount,
    upstreamsPerRack,
    cpuMillicores,
    memoryMiB,
    dataCentreCount = 1,
  } = deployment
  const rackCount = Math.ceil(upstreamCount / upstreamsPerRack)
  return Array.from({ length: upstreamCount }, (_, at) => ({
    upstreamId: `upstream-${at}`,
    pool: 'pool',
    address: `127.0.0.1:${9000 + at}`,
    dataCentre: nameDataCentre(
      Math.floor((Math.floor(at / upstreamsPerRack) * dataCentreCount) / rackCount),
    ),
    rack: `rack-${Math.floor(at / upstreamsPerRack)}`,
    labels: [],
    capacity: { cpuMillicores, memoryMiB, accelerators: acceleratorsPerUpstream },
  }))
}

function createConfig(deployment: Deployment): ClusterConfig {
  const { kinds, upstreamCount } = deployment
  const guaranteed = guaranteedShare * upstreamCount * acceleratorsPerUpstream
  return {
    version: 1,
    source: '',
    pools: [{ name: 'pool', connectionsMax: 64, guardsCapacity: true }],
    workspaces: listWorkspaces(deployment).map(([name, share]) => ({
      name,
      keys: [],
      guaranteedAccelerators: Math.floor(guaranteed * share),
    })),
    queues: kinds.map(({ name, priority, stretch, targetLatencyMs }) => ({
      name,
      host: 'host',
      pathPrefix: `/${name}/`,
      pool: 'pool',
      priority,
      attemptsMax: 4,
      stretch,
      targetLatencyMs,
      anonymous: false,
    })),
  }
}
