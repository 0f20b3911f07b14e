/** What the jobs of a day earn by when they ended, as their users value them. */
import type { DayJob } from './dayJob.js'
import type { JobOutcome } from './judgeDay.js'

/** A job that ends later than this many times its objective earns nothing. */
export const lateLimitTimes = 3

export interface KindEarnings {
  earned: number
  owed: number
}

export interface JobEnd {
  readonly isCompleted: boolean
  /** From its arrival; Infinity where it has not ended. */
  readonly tookMs: number
}

/** By kind of job. */
export function sumEarnings(outcomes: readonly JobOutcome[]): Map<string, KindEarnings> {
  const kinds = new Map<string, KindEarnings>()
  for (const { job, earned } of outcomes) {
    const sums = kinds.get(job.kind.name) ?? { earned: 0, owed: 0 }
    sums.owed += job.value
    sums.earned += earned
    kinds.set(job.kind.name, sums)
  }
  return kinds
}

/** By when, from its arrival, a job earns its whole worth. */
export function measureObjectiveMs({ kind, runTimesMs }: DayJob): number {
  const chainMs = runTimesMs.reduce((sum, runTimeMs) => sum + runTimeMs, 0)
  return kind.stretch * chainMs + kind.targetLatencyMs
}

/** What a job earns that ended so. */
export function earn(job: DayJob, { isCompleted, tookMs }: JobEnd): number {
  if (!isCompleted) return 0
  const { kind, value } = job
  const objectiveMs = measureObjectiveMs(job)
  if (tookMs <= objectiveMs) return value
  return tookMs <= objectiveMs * lateLimitTimes ? (value * kind.lateWorth) / kind.worth : 0
}
