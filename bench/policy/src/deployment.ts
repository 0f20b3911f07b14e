/**
 * Deployments as their users describe them: upstreams, kinds of job, how often they come, and what counts. Those under
 * hard load are in `hardDeployments.ts`.
 */
import type { UpstreamTroubleShares } from './dayTroubles.js'
import type { Burst, Waves } from './demandCurve.js'
import { crewsGoal, depotsGoal, officesGoal, type Goal } from './goal.js'
import type { JobKind } from './jobKind.js'

export interface Deployment {
  readonly name: string
  readonly upstreamCount: number
  readonly upstreamsPerRack: number
  readonly cpuMillicores: number
  readonly memoryMiB: number
  readonly workspaceCount: number
  /** Whether all upstreams are equally fast; their paces differ by default. */
  readonly isPaceUniform?: boolean
  /** Whether only gangs that an empty rack can hold want one; any gang by default. */
  readonly isOneRackPossible?: boolean
  /** Data centres among which the racks are divided; one by default. */
  readonly dataCentreCount?: number
  /** One is drawn for each upstream, for all days; by default upstreams differ on troubled days only. */
  readonly paces?: readonly number[]
  /** From the order to stop a run to its end; as long as any order by default. */
  readonly stopMs?: number
  /** The time within which guaranteed work must start; 2,900 ms by default. */
  readonly guaranteedStartMs?: number
  /** Interval of regular checkpoints, and the time to resume from one. */
  readonly checkpointMs?: number
  readonly restoreMs?: number
  /** Workspaces send jobs and are guaranteed accelerators by `rank ** -workspaceSkew`; all are equal by default. */
  readonly workspaceSkew?: number
  /** Demand in waves with these bursts; by default it is even, with one burst of a kind that is drawn. */
  readonly demand?: { readonly waves: Waves; readonly bursts: readonly Burst[] }
  /** Troubles of upstreams that replace the usual ones on troubled days. */
  readonly upstreamTroubles?: UpstreamTroubleShares
  /** How long jobs may take after the last arrival; the day ends earlier if all have ended. */
  readonly finishMs?: number
  readonly kinds: readonly JobKind[]
  readonly goal: Goal
}

export const acceleratorsPerUpstream = 8

const sweep: JobKind = {
  name: 'large',
  priority: 1,
  jobsPerSecond: 0.439,
  worth: 3,
  lateWorth: 1.5,
  stretch: 3,
  targetLatencyMs: 1000,
  runTime: { meanMs: 8500, spread: 0.3, maxMs: 11_000 },
  tasks: { mean: 5, max: 24 },
  cpuMillicores: 13_000,
  memoryMiB: 37_000,
  accelerators: [1, 2, 4, 8, 8],
  isGang: true,
  oneRackShare: 0.6,
  checkpointShare: 0.45,
  secondStepShare: 0,
  failingShare: 0.05,
  declaredSpread: 0.2,
}

const urgent: JobKind = {
  ...sweep,
  name: 'urgent',
  priority: 0,
  jobsPerSecond: 1.07,
  worth: 4,
  lateWorth: 0.8,
  stretch: 1.5,
  targetLatencyMs: 250,
  runTime: { meanMs: 2500, spread: 0.5, maxMs: 8000 },
  tasks: { mean: 3, max: 18 },
  cpuMillicores: 3700,
  memoryMiB: 15_000,
  oneRackShare: 0.8,
  checkpointShare: 0,
  failingShare: 0.005,
}

const background: JobKind = {
  ...sweep,
  name: 'background',
  priority: 2,
  jobsPerSecond: 0.517,
  worth: 1,
  lateWorth: 0.5,
  stretch: 3,
  targetLatencyMs: 3000,
  runTime: { meanMs: 6100, spread: 0.3, maxMs: 11_000 },
  tasks: { mean: 16, max: 72 },
  cpuMillicores: 2800,
  memoryMiB: 8000,
  accelerators: [1],
  isGang: false,
  oneRackShare: 0,
  secondStepShare: 0.3,
  failingShare: 0.02,
  declaredSpread: 0.9,
}

export const thapa: Deployment = {
  name: 'thapa',
  goal: crewsGoal,
  upstreamCount: 33,
  upstreamsPerRack: 8,
  cpuMillicores: 32_000,
  memoryMiB: 128_000,
  workspaceCount: 4,
  kinds: [sweep, urgent, background],
}

/** Its upstreams have four times the processors, and its jobs need as much more. */
export const cscfba: Deployment = {
  name: 'cscfba',
  goal: officesGoal,
  upstreamCount: 32,
  upstreamsPerRack: 6,
  cpuMillicores: 128_000,
  memoryMiB: 256_000,
  workspaceCount: 4,
  kinds: [
    {
      ...sweep,
      jobsPerSecond: 0.6,
      lateWorth: 0.3,
      tasks: { mean: 4, max: 24 },
      cpuMillicores: 52_000,
      memoryMiB: 75_000,
    },
    { ...urgent, jobsPerSecond: 2.1, cpuMillicores: 15_000, memoryMiB: 31_000 },
    {
      ...background,
      jobsPerSecond: 0.591,
      lateWorth: 0.1,
      runTime: { meanMs: 7600, spread: 0.3, maxMs: 11_000 },
      tasks: { mean: 12, max: 72 },
      cpuMillicores: 11_000,
      memoryMiB: 16_000,
    },
  ],
}

/** Long gangs of half an upstream's processors a task, beside short urgent ones: what is stopped here is dear. */
export const fsww: Deployment = {
  name: 'fsww',
  goal: depotsGoal,
  upstreamCount: 33,
  upstreamsPerRack: 8,
  cpuMillicores: 128_000,
  memoryMiB: 512_000,
  workspaceCount: 4,
  kinds: [
    {
      ...sweep,
      jobsPerSecond: 0.43,
      lateWorth: 0.9,
      runTime: { meanMs: 11_000, spread: 0.3, maxMs: 11_000 },
      tasks: { mean: 5, max: 30 },
      cpuMillicores: 52_000,
      memoryMiB: 150_000,
      failingShare: 0.005,
    },
    {
      ...urgent,
      jobsPerSecond: 1.65,
      tasks: { mean: 3.4, max: 21 },
      cpuMillicores: 15_000,
      memoryMiB: 44_000,
      declaredSpread: 0.5,
    },
    {
      ...background,
      jobsPerSecond: 0.41,
      lateWorth: 0.3,
      runTime: { meanMs: 9500, spread: 0.3, maxMs: 11_000 },
      tasks: { mean: 16, max: 94 },
      cpuMillicores: 11_000,
      memoryMiB: 59_000,
      failingShare: 0.005,
      checkpointShare: 0.45,
      declaredSpread: 0.2,
    },
  ],
}

/** More urgent work and less of the rest, in gangs of 13 and small jobs of 39, on upstreams with half of the memory. */
export const shifted: Deployment = {
  name: 'shifted',
  goal: { ...crewsGoal, wastePrice: 0.0012 },
  upstreamCount: 245,
  upstreamsPerRack: 8,
  cpuMillicores: 32_000,
  memoryMiB: 65_536,
  workspaceCount: 10,
  dataCentreCount: 3,
  isPaceUniform: true,
  isOneRackPossible: true,
  kinds: [
    {
      ...sweep,
      jobsPerSecond: 0.882,
      tasks: { mean: 13, max: 78 },
      memoryMiB: 26_000,
      failingShare: 0.02,
    },
    { ...urgent, jobsPerSecond: 6.49, tasks: { mean: 5.4, max: 32 }, memoryMiB: 7600 },
    {
      ...background,
      jobsPerSecond: 1.08,
      tasks: { mean: 39, max: 230 },
      memoryMiB: 5700,
      failingShare: 0.05,
      checkpointShare: 0.45,
      declaredSpread: 0.5,
    },
  ],
}

/** The same crowd on more upstreams. */
export function growDeployment(deployment: Deployment, upstreamCount: number): Deployment {
  const grown = scaleDemand(deployment, upstreamCount / deployment.upstreamCount)
  return { ...grown, name: `${deployment.name}-${upstreamCount}`, upstreamCount }
}

/** Jobs that come so many times as often. */
export function scaleDemand(deployment: Deployment, times: number): Deployment {
  const kinds = deployment.kinds.map((kind) => ({
    ...kind,
    jobsPerSecond: kind.jobsPerSecond * times,
  }))
  return { ...deployment, kinds }
}
