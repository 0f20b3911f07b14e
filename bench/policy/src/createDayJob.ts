/** Draws one job of a day: its size, its run time and what it is worth. */
import type { Resources, StepSpec } from '@nettlespur/batch.model'
import { countFitting } from '@nettlespur/batch.scheduler'
import type { SeededRandom } from '@nettlespur/bench.placement'
import { maxOf } from '@nettlespur/core.lists'
import type { DayJob } from './dayJob.js'
import { acceleratorsPerUpstream, type Deployment } from './deployment.js'
import type { JobKind } from './jobKind.js'
import { listWorkspaces } from './workspaces.js'

const taskCountSpread = 0.8
/** A job's worth: a part for each job, the rest by its work, at most this many times the mean. */
const flatValue = 0.3
const workValue = 0.7
const valueTimesMax = 4

export interface DayJobOptions {
  deployment: Deployment
  kind: JobKind
  arriveMs: number
  jobId: string
}

export function createDayJob(random: SeededRandom, opts: DayJobOptions): DayJob {
  const { deployment, kind, arriveMs, jobId } = opts
  const { runTime } = kind
  const tail = drawTail(random, kind)
  const usualMs = Math.min(
    runTime.maxMs,
    drawAround(random, runTime.meanMs / tail.meanTimes, runTime.spread),
  )
  const runTimeMs = usualMs * tail.times
  const drawn = Math.round(drawAround(random, kind.tasks.mean, taskCountSpread))
  const taskCount = Math.min(kind.tasks.max, Math.max(1, drawn))
  const accelerators = random.pick(kind.accelerators.map((count) => [count, 1] as const))
  const declared = drawAround(random, usualMs, kind.declaredSpread)
  const { cpuMillicores, memoryMiB } = kind
  const needs = { cpuMillicores, memoryMiB, accelerators }
  const step: StepSpec = {
    taskCount,
    needs,
    expectedRunTimeMs: Math.round(declared),
    dependsOn: [],
    isGang: kind.isGang,
    prefersOneRack:
      random.chance(kind.oneRackShare) &&
      (deployment.isOneRackPossible !== true || canRackHold(deployment, taskCount, needs)),
    checkpoints: random.chance(kind.checkpointShare),
  }
  const hasSecond = random.chance(kind.secondStepShare)
  const bound = bindToData(random, { deployment, kind, step })
  const steps = hasSecond ? [bound, { ...bound, dependsOn: [0] }] : [bound]
  const tasks = steps.map(() => drawTaskTimes(random, kind, taskCount))
  const work = steps.length * taskCount * runTimeMs * accelerators
  return {
    kind,
    arriveMs,
    runTimesMs: tasks.map(({ longest }) => runTimeMs * longest),
    ...(hasVariation(kind) ? { taskTimes: tasks.map(({ times }) => times) } : {}),
    workspace: random.pick(listWorkspaces(deployment)),
    request: { jobId, payload: '', steps },
    value: kind.worth * Math.min(valueTimesMax, flatValue + (workValue * work) / meanWork(kind)),
  }
}

interface Tail {
  /** This job's run time as a multiple of the usual. */
  readonly times: number
  /** The mean of it over all jobs. */
  readonly meanTimes: number
}

function drawTail(random: SeededRandom, { stragglers }: JobKind): Tail {
  if (stragglers === undefined) return { times: 1, meanTimes: 1 }
  const { share, times } = stragglers
  return { times: random.chance(share) ? times : 1, meanTimes: 1 + share * (times - 1) }
}

/** A gang ends as a whole, so that its members do not differ. */
function hasVariation({ taskSpread = 0, isGang }: JobKind): boolean {
  return taskSpread > 0 && !isGang
}

interface TaskTimes {
  /** Of each task, as a share of the longest. */
  readonly times: readonly number[]
  /** As a multiple of the mean. */
  readonly longest: number
}

function drawTaskTimes(random: SeededRandom, kind: JobKind, taskCount: number): TaskTimes {
  if (!hasVariation(kind)) return { times: [], longest: 1 }
  const drawn = Array.from({ length: taskCount }, () => drawAround(random, 1, kind.taskSpread ?? 0))
  const longest = maxOf(drawn)
  return { times: drawn.map((times) => times / longest), longest }
}

/** Only a rack that could hold a gang has its data. */
function bindToData(
  random: SeededRandom,
  { deployment, kind, step }: { deployment: Deployment; kind: JobKind; step: StepSpec },
): StepSpec {
  const { dataRackShare = 0 } = kind
  if (dataRackShare === 0 || !random.chance(dataRackShare)) return step
  if (step.isGang && !canRackHold(deployment, step.taskCount, step.needs)) return step
  const rackCount = Math.ceil(deployment.upstreamCount / deployment.upstreamsPerRack)
  return { ...step, dataRack: `rack-${Math.floor(random.next() * rackCount)}` }
}

function canRackHold(
  { cpuMillicores, memoryMiB, upstreamsPerRack }: Deployment,
  taskCount: number,
  needs: Resources,
): boolean {
  const capacity = { cpuMillicores, memoryMiB, accelerators: acceleratorsPerUpstream }
  return countFitting(capacity, needs) * upstreamsPerRack >= taskCount
}

function meanWork(kind: JobKind): number {
  const accelerators = kind.accelerators.reduce((sum, count) => sum + count, 0)
  const perTask = (kind.runTime.meanMs * accelerators) / kind.accelerators.length
  return (1 + kind.secondStepShare) * kind.tasks.mean * perTask
}

/** Log-normal around this mean. */
function drawAround(random: SeededRandom, mean: number, spread: number): number {
  return random.logNormal(mean * Math.exp(-(spread ** 2) / 2), spread)
}
