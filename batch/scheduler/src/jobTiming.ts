/** By when a job should have ended, and how long its work is expected to take. */
import type { StepSpec } from '@nettlespur/batch.model'
import type { JobRecord } from '@nettlespur/batch.state'

/** A job that ends later than this many times its objective is worth nothing any more. */
const lateLimitFactor = 3

export type Timeliness = 'on-time' | 'late' | 'none'

/** The expected time of the longest chain of steps, in milliseconds. */
export function measureCriticalPathMs(steps: readonly StepSpec[]): number {
  const endsMs: number[] = []
  for (const { dependsOn, expectedRunTimeMs } of steps) {
    const startMs = Math.max(0, ...dependsOn.map((number) => endsMs[number] ?? 0))
    endsMs.push(startMs + expectedRunTimeMs)
  }
  return Math.max(0, ...endsMs)
}

/** The expected time of what has still to run. */
export function measureRemainingMs(job: JobRecord): number {
  const open = job.request.steps.filter((_, at) =>
    job.steps[at]?.tasks.some(({ phase }) => phase !== 'done'),
  )
  return open.reduce((longest, step) => Math.max(longest, step.expectedRunTimeMs), 0)
}

export function measureObjectiveMs({ queue, request }: JobRecord): number {
  return queue.stretch * measureCriticalPathMs(request.steps) + queue.targetLatencyMs
}

export interface JobTiming {
  /** Since the job was accepted, as far as this leader knows. */
  readonly waitedMs: number
  readonly timeliness: Timeliness
  /** The latest start with which the job still ends in time. */
  readonly latestStartMs: number
  /** The latest start with which it is still worth something. */
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
