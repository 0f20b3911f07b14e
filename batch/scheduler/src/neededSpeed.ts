/** The speed that a unit needs so that its job ends on time, or at least while its result has value. */
import type { JobRank } from './jobRank.js'
import { lateLimitFactor, measureObjectiveMs, measureOpenPathMs } from './jobTiming.js'

/** Time from the decision to the start: the commit of the placement, the order and its answer. */
const startMs = 100

/**
 * Run times are declared for one task, while the slowest task of a gang takes longer, and the scale of the learned speeds
 * is not exact.
 */
export const runTimeMargin = 1.15

export interface NeededSpeed {
  /** 0 if any speed will do. */
  readonly speed: number
  /** Whether the job ends on time at that speed. */
  readonly isForOnTimeEnd: boolean
}

/** `fastestSpeed` is the fastest one in the unit's pool. */
export function computeNeededSpeed(
  { job, waitedMs }: Pick<JobRank, 'job' | 'waitedMs'>,
  fastestSpeed: number,
): NeededSpeed {
  const runMs = measureOpenPathMs(job) * runTimeMargin
  const objectiveMs = measureObjectiveMs(job)
  const speedToEndWithin = (limitMs: number): number => {
    const leftMs = limitMs - waitedMs - startMs
    return leftMs > 0 ? runMs / leftMs : Infinity
  }
  const onTimeSpeed = speedToEndWithin(objectiveMs)
  if (onTimeSpeed <= fastestSpeed) return { speed: onTimeSpeed, isForOnTimeEnd: true }
  const lateSpeed = speedToEndWithin(objectiveMs * lateLimitFactor)
  return { speed: lateSpeed <= fastestSpeed ? lateSpeed : 0, isForOnTimeEnd: false }
}
