/** One job of a day. */
import type { JobRequest } from '@nettlespur/batch.model'
import type { JobKind } from './jobKind.js'

export interface DayJob {
  readonly kind: JobKind
  readonly workspace: string
  readonly arriveMs: number
  readonly request: JobRequest
  /** What the tasks of each step take in the right place; where they differ, the longest. */
  readonly runTimesMs: readonly number[]
  /** What each task of each step takes as a share of `runTimesMs`; all the same by default. */
  readonly taskTimes?: readonly (readonly number[])[]
  /** What it earns in time. */
  readonly value: number
}
