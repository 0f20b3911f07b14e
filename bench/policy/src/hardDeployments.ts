/** Deployments under hard load: upstreams of very different speed, demand in waves, and workspaces of different size. */
import type { Deployment } from './deployment.js'
import { buildsGoal, rostersGoal } from './goal.js'
import type { JobKind } from './jobKind.js'

/** With this skew, three of ten workspaces send half of all jobs. */
const workspaceSkew = 0.7
const uncappedMs = Infinity
const stragglers = { share: 0.03, times: 7 }
const noStragglers = { share: 0, times: 1 }

const large: JobKind = {
  name: 'large',
  priority: 1,
  jobsPerSecond: 0.689,
  worth: 3,
  lateWorth: 0.9,
  stretch: 3,
  targetLatencyMs: 1000,
  runTime: { meanMs: 9400, spread: 0.3, maxMs: uncappedMs },
  tasks: { mean: 13, max: 78 },
  cpuMillicores: 52_000,
  memoryMiB: 210_000,
  accelerators: [1, 2, 4, 8, 8],
  isGang: true,
  oneRackShare: 0.6,
  checkpointShare: 0.45,
  secondStepShare: 0,
  failingShare: 0.05,
  failsAsGang: true,
  declaredSpread: 0.2,
  stragglers,
  taskSpread: 0.15,
  dataRackShare: 0.3,
}

const urgent: JobKind = {
  ...large,
  name: 'urgent',
  priority: 0,
  jobsPerSecond: 3.64,
  worth: 4,
  lateWorth: 0.8,
  stretch: 1.5,
  targetLatencyMs: 250,
  runTime: { meanMs: 2100, spread: 0.5, maxMs: uncappedMs },
  tasks: { mean: 5.4, max: 32 },
  cpuMillicores: 15_000,
  memoryMiB: 44_000,
  oneRackShare: 0.8,
  checkpointShare: 0,
  declaredSpread: 0.5,
  dataRackShare: 0,
}

const background: JobKind = {
  ...large,
  name: 'background',
  priority: 2,
  jobsPerSecond: 0.67,
  worth: 1,
  lateWorth: 0.3,
  targetLatencyMs: 3000,
  runTime: { meanMs: 8100, spread: 0.3, maxMs: uncappedMs },
  tasks: { mean: 39, max: 230 },
  cpuMillicores: 11_000,
  memoryMiB: 46_000,
  accelerators: [1],
  isGang: false,
  oneRackShare: 0,
  secondStepShare: 0.3,
  failingShare: 0.005,
  declaredSpread: 0.5,
  dataRackShare: 0.12,
}

/** Upstreams of very different speed, run times with a heavy tail, and troubled upstreams of several kinds. */
export const rosters: Deployment = {
  name: 'rosters',
  goal: rostersGoal,
  upstreamCount: 245,
  upstreamsPerRack: 8,
  cpuMillicores: 128_000,
  memoryMiB: 512_000,
  workspaceCount: 10,
  workspaceSkew,
  isOneRackPossible: true,
  paces: [0.6, 1, 1.6],
  stopMs: 900,
  guaranteedStartMs: 3400,
  checkpointMs: 2000,
  restoreMs: 100,
  demand: {
    waves: { share: 0.55, periodMs: 13_000 },
    bursts: [{ kindNames: ['urgent'], times: { least: 2, most: 2.2 }, lengthMs: 6000 }],
  },
  upstreamTroubles: {
    failing: 0.075,
    hanging: 0.145,
    slow: 0,
    flapping: 0.1,
    leaving: 0.155,
  },
  // Seven times the run time of a large job, and room for those that run longer than usual.
  finishMs: 80_000,
  kinds: [large, urgent, background],
}

/** At times more work than capacity; large jobs in bursts. */
export const builds: Deployment = {
  name: 'builds',
  goal: buildsGoal,
  upstreamCount: 245,
  upstreamsPerRack: 20,
  cpuMillicores: 64_000,
  memoryMiB: 256_000,
  workspaceCount: 10,
  workspaceSkew,
  isOneRackPossible: true,
  paces: [1, 1, 1.3],
  stopMs: 400,
  guaranteedStartMs: 2900,
  checkpointMs: 1000,
  restoreMs: 100,
  demand: {
    waves: { share: 0.15, periodMs: 11_000 },
    bursts: [
      {
        kindNames: ['large', 'urgent', 'background'],
        times: { least: 1.7, most: 1.7 },
        lengthMs: 3000,
      },
      { kindNames: ['large'], times: { least: 2.6, most: 2.6 }, lengthMs: 4000 },
    ],
  },
  kinds: [
    {
      ...large,
      jobsPerSecond: 1.17,
      lateWorth: 1.5,
      runTime: { meanMs: 8500, spread: 0.3, maxMs: 11_000 },
      cpuMillicores: 26_000,
      memoryMiB: 75_000,
      failingShare: 0.005,
      stragglers: noStragglers,
      taskSpread: 0.3,
    },
    {
      ...urgent,
      jobsPerSecond: 4,
      runTime: { meanMs: 2500, spread: 0.5, maxMs: 8000 },
      cpuMillicores: 7500,
      memoryMiB: 22_000,
      declaredSpread: 0.9,
      stragglers: noStragglers,
    },
    {
      ...background,
      jobsPerSecond: 0.925,
      lateWorth: 0.5,
      runTime: { meanMs: 9500, spread: 0.3, maxMs: 11_000 },
      cpuMillicores: 5600,
      memoryMiB: 16_000,
      failingShare: 0.02,
      stragglers: noStragglers,
    },
  ],
}
