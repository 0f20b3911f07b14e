/** A unit of scheduling: a whole gang, or waiting tasks of a step that may start independently. */
import type { StepSpec } from '@nettlespur/batch.model'
import {
  isHeldBack,
  isStepDone,
  isSuspectTask,
  type JobRecord,
  type Placement,
  type StepRecord,
  type TaskRecord,
} from '@nettlespur/batch.state'
import { maxOf } from '@nettlespur/core.lists'
import { noRelaxedPreferences, type Preference } from './preference.js'
import type { SchedulerView } from './schedulerView.js'
import { limitTrials } from './limitTrials.js'
import { placementsPerRoundMax } from './roundLimits.js'
import type { UpstreamGroup } from './upstreamGroup.js'

export interface StartUnit {
  readonly job: JobRecord
  readonly stepNumber: number
  readonly step: StepSpec
  readonly record: StepRecord
  /** Indexes of the waiting tasks: all of a gang, and otherwise no more than a round places. */
  readonly waiting: readonly number[]
  /** Returns how many of the step's tasks are placed on an upstream. */
  readonly countPlacedOn: (upstreamId: string) => number
  /** Upstreams on which one of these tasks has failed. */
  readonly avoided: ReadonlySet<string>
  /** Suspected of crashing the upstreams that start it: for a while nothing else may start on the same upstream. */
  readonly isOnTrial: boolean
  /** Preferences that no longer apply to the unit. */
  readonly relaxed: ReadonlySet<Preference>
  /** Groups of upstreams in the order in which they are tried; absent if the unit prefers no upstreams to others. */
  readonly groups?: readonly UpstreamGroup[]
  /** Whether its tasks are spread over the upstreams of the first group; only if they may start independently. */
  readonly isSpread?: boolean
  /** The only upstreams that the unit takes for now; absent if it takes any. */
  readonly isAllowed?: UpstreamGroup
}

/** Returns the units of a job that may start now, which excludes steps whose dependencies are not done. */
export function listUnits(
  job: JobRecord,
  { isProven, isPaused }: Pick<SchedulerView, 'isProven' | 'isPaused'>,
): StartUnit[] {
  if (job.status !== 'active') return []
  const isDone = createStepCheck(job)
  return job.request.steps.flatMap((step, stepNumber) => {
    const record = job.steps[stepNumber]
    if (record === undefined || !step.dependsOn.every(isDone)) return []
    const { jobId } = job.request
    const waiting = listWaiting(
      record,
      (index) => !isPaused({ jobId, step: stepNumber, index }),
      step.isGang ? Infinity : placementsPerRoundMax,
    )
    // A gang starts as a whole, after every member of its previous attempt has ended.
    const isStartable = step.isGang ? waiting.length === step.taskCount : waiting.length > 0
    if (!isStartable) return []
    const unit = { job, stepNumber, step, record, countPlacedOn: createPlacedCounter(record) }
    if (step.isGang) return [createUnit(unit, waiting, isSuspectTask(job, firstTask(stepNumber)))]
    const { suspects, others } = limitTrials({ job, stepNumber, record, waiting, isProven })
    const trials = suspects.map((index) => createUnit(unit, [index], true))
    return others.length === 0 ? trials : [...trials, createUnit(unit, others, false)]
  })
}

/** Any member identifies its gang to `isSuspectTask`. */
function firstTask(step: number) {
  return { step, index: 0 }
}

function createUnit(
  unit: Pick<StartUnit, 'job' | 'stepNumber' | 'step' | 'record' | 'countPlacedOn'>,
  waiting: readonly number[],
  isOnTrial: boolean,
): StartUnit {
  const { tasks } = unit.record
  const avoided = new Set(waiting.flatMap((index) => tasks[index]?.failedOn ?? []))
  return { ...unit, waiting, avoided, isOnTrial, relaxed: noRelaxedPreferences }
}

/** Assigns the waiting tasks, in order, to the given upstreams. */
export function createPlacements(unit: StartUnit, upstreamIds: readonly string[]): Placement[] {
  const { job, stepNumber, step, record, waiting } = unit
  const gangAttempt = step.isGang ? maxOf(record.tasks.map((task) => task.attempt)) + 1 : undefined
  return upstreamIds.flatMap((upstreamId, at) => {
    const index = waiting[at]
    if (index === undefined) return []
    const attempt = gangAttempt ?? (record.tasks[index]?.attempt ?? 0) + 1
    return [{ jobId: job.request.jobId, step: stepNumber, index, attempt, upstreamId }]
  })
}

/** Returns a function that tells whether all tasks of a step are done. It goes over the tasks of each step once. */
function createStepCheck({ steps }: JobRecord): (stepNumber: number) => boolean {
  const known = new Map<number, boolean>()
  return (stepNumber) => {
    const record = steps[stepNumber]
    const isDone = known.get(stepNumber) ?? (record !== undefined && isStepDone(record))
    known.set(stepNumber, isDone)
    return isDone
  }
}

/** Returns a counter that goes over the tasks of the step once, and not before it is called. */
function createPlacedCounter({ tasks }: StepRecord): StartUnit['countPlacedOn'] {
  let counts: ReadonlyMap<string, number> | undefined
  return (upstreamId) => (counts ??= countByUpstream(tasks)).get(upstreamId) ?? 0
}

function countByUpstream(tasks: readonly TaskRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { upstreamId } of tasks) {
    if (upstreamId !== undefined) counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1)
  }
  return counts
}

/** Returns the indexes of the first `countMax` waiting tasks that may start. */
function listWaiting(
  { tasks }: StepRecord,
  mayStart: (index: number) => boolean,
  countMax: number,
): number[] {
  const waiting: number[] = []
  for (let index = 0; index < tasks.length && waiting.length < countMax; index++) {
    const task = tasks[index]
    if (task?.phase !== 'waiting' || isHeldBack(task)) continue
    if (mayStart(index)) waiting.push(index)
  }
  return waiting
}
