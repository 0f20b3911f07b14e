/** A unit of scheduling: a whole gang, or waiting tasks of a step that may start independently. */
import type { StepSpec } from '@nettlespur/batch.model'
import {
  isSuspectTask,
  type JobRecord,
  type Placement,
  type StepRecord,
} from '@nettlespur/batch.state'
import { noRelaxedPreferences, type Preference } from './preference.js'
import type { SchedulerView } from './schedulerView.js'
import { limitTrials } from './limitTrials.js'
import type { UpstreamGroup } from './upstreamGroup.js'

export interface StartUnit {
  readonly job: JobRecord
  readonly stepNumber: number
  readonly step: StepSpec
  readonly record: StepRecord
  /** Indexes of the waiting tasks. */
  readonly waiting: readonly number[]
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
  return job.request.steps.flatMap((step, stepNumber) => {
    const record = job.steps[stepNumber]
    if (record === undefined || !areStepsDone(job, step.dependsOn)) return []
    const { jobId } = job.request
    const waiting = listWaiting(record).filter(
      (index) => !isPaused({ jobId, step: stepNumber, index }),
    )
    // A gang starts as a whole, after every member of its previous attempt has ended.
    const isStartable = step.isGang ? waiting.length === step.taskCount : waiting.length > 0
    if (!isStartable) return []
    const unit = { job, stepNumber, step, record }
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
  unit: Pick<StartUnit, 'job' | 'stepNumber' | 'step' | 'record'>,
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
  const gangAttempt = Math.max(...record.tasks.map(({ attempt }) => attempt)) + 1
  return upstreamIds.flatMap((upstreamId, at) => {
    const index = waiting[at]
    if (index === undefined) return []
    const attempt = step.isGang ? gangAttempt : (record.tasks[index]?.attempt ?? 0) + 1
    return [{ jobId: job.request.jobId, step: stepNumber, index, attempt, upstreamId }]
  })
}

function areStepsDone(job: JobRecord, stepNumbers: readonly number[]): boolean {
  return stepNumbers.every((number) =>
    job.steps[number]?.tasks.every(({ phase }) => phase === 'done'),
  )
}

function listWaiting({ tasks }: StepRecord): number[] {
  return tasks.flatMap(({ phase }, index) => (phase === 'waiting' ? [index] : []))
}
