/** What a day is worth to its users, part by part. */
import { minOf } from '@nettlespur/core.lists'
import type { DayJob } from './dayJob.js'
import type { Goal } from './goal.js'

const windowMs = 2000
/** This many of the windows that earn least count. */
const worstWindowCount = 2
/** One job in so many left with nothing counts as whole. */
const unservedLeast = 0.001

export interface JobOutcome {
  readonly job: DayJob
  readonly earned: number
  /** It earned something. */
  readonly isServed: boolean
}

/** Each as a share of what was owed. */
export interface DayParts {
  readonly wholeDay: number
  readonly worstWindows: number
  readonly worstKind: number
  readonly worstWorkspace: number
  readonly servedInNines: number
}

export interface DayVerdict extends DayParts {
  /** The parts by their weights, less the price of what was thrown away. */
  readonly total: number
  /** Share of the jobs that earned nothing. */
  readonly unserved: number
}

export interface JudgeDayOptions {
  outcomes: readonly JobOutcome[]
  goal: Goal
  wastedCoreSeconds: number
}

export function judgeDay({ outcomes, goal, wastedCoreSeconds }: JudgeDayOptions): DayVerdict {
  const windows = shareBy(outcomes, ({ arriveMs }) => String(Math.floor(arriveMs / windowMs)))
  const worst = windows.sort((left, right) => left - right).slice(0, worstWindowCount)
  const unserved = outcomes.filter(({ isServed }) => !isServed).length / outcomes.length
  const parts: DayParts = {
    wholeDay: shareOf(outcomes),
    worstWindows: worst.reduce((sum, share) => sum + share, 0) / worst.length,
    worstKind: minOf(shareBy(outcomes, ({ kind }) => kind.name)),
    worstWorkspace: minOf(shareBy(outcomes, ({ workspace }) => workspace)),
    servedInNines: Math.min(1, Math.log(unserved) / Math.log(unservedLeast)),
  }
  const owed = outcomes.reduce((sum, { job }) => sum + job.value, 0)
  const price = (goal.wastePrice * wastedCoreSeconds) / owed
  return { ...parts, unserved, total: weigh(parts, goal) - price }
}

function weigh(parts: DayParts, goal: Goal): number {
  const names = Object.keys(parts) as (keyof DayParts)[]
  return names.reduce((sum, name) => sum + parts[name] * goal[name], 0)
}

function shareBy(outcomes: readonly JobOutcome[], keyOf: (job: DayJob) => string): number[] {
  const groups = new Map<string, JobOutcome[]>()
  for (const outcome of outcomes) {
    const key = keyOf(outcome.job)
    groups.set(key, [...(groups.get(key) ?? []), outcome])
  }
  return [...groups.values()].map(shareOf)
}

function shareOf(outcomes: readonly JobOutcome[]): number {
  const owed = outcomes.reduce((sum, { job }) => sum + job.value, 0)
  return outcomes.reduce((sum, { earned }) => sum + earned, 0) / owed
}
