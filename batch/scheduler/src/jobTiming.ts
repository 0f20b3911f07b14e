/** Objectives of jobs and the latest starts that meet them. */
import type { StepSpec } from '@nettlespur/batch.model'
import { isStepDone, type JobRecord } from '@nettlespur/batch.state'
import { maxOf } from '@nettlespur/core.lists'

/** A job that ends later than this many times its objective has no value. */
export const lateLimitFactor = 3

export type Timeliness = 'on-time' | 'late' | 'none'

/** The expected time of the longest chain of dependent steps. */
export function measureCriticalPathMs(steps: readonly StepSpec[]): number {
  const endsMs: number[] = []
  for (const { dependsOn, expectedRunTimeMs } of steps) {
    const startMs = maxOf(
      dependsOn.map((number) => endsMs[number] ?? 0),
      0,
    )
    endsMs.push(startMs + expectedRunTimeMs)
  }
  return maxOf(endsMs, 0)
}

/** The expected time of the longest chain of dependent steps that are not done. */
export function measureOpenPathMs(job: JobRecord): number {
  const { steps } = job.request
  const [only] = steps
  if (steps.length === 1 && only !== undefined) return only.expectedRunTimeMs
  return measureCriticalPathMs(
    steps.map((step, at) => (isOpen(job, at) ? step : { ...step, expectedRunTimeMs: 0 })),
  )
}

function isOpen({ steps }: JobRecord, at: number): boolean {
  const step = steps[at]
  return step !== undefined && !isStepDone(step)
}

/** The expected run time of the longest step that is not done. */
export function measureRemainingMs(job: JobRecord): number {
  const open = job.request.steps.filter((_, at) => isOpen(job, at))
  return open.reduce((longest, step) => Math.max(longest, step.expectedRunTimeMs), 0)
}

export function measureObjectiveMs({ queue, request }: JobRecord): number {
  return queue.stretch * measureCriticalPathMs(request.steps) + queue.targetLatencyMs
}

export interface JobTiming {
  /** Time since the job was accepted, as far as this leader knows. */
  readonly waitedMs: number
  readonly timeliness: Timeliness
  /** The latest start with which the job ends on time. */
  readonly latestStartMs: number
  /** The latest start with which the result still has value. */
  readonly lastUsefulStartMs: number
}

export function computeTiming(job: JobRecord, acceptedAtMs: number, nowMs: number): JobTiming {
  const objectiveMs = measureObjectiveMs(job)
  const remainingMs = measureRemainingMs(job)
  const latestStartMs = acceptedAtMs + objectiveMs - remainingMs
  const lastUsefulStartMs = acceptedAtMs + objectiveMs * lateLimitFactor - remainingMs
  const timelinessIfLate = nowMs <= lastUsefulStartMs ? 'late' : 'none'
  return {
    waitedMs: nowMs - acceptedAtMs,
    timeliness: nowMs <= latestStartMs ? 'on-time' : timelinessIfLate,
    latestStartMs,
    lastUsefulStartMs,
  }
}
