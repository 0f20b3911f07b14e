/**
 * Limits how much work of other jobs may be lost so that a unit starts at once. Guaranteed work gets its capacity at
 * any cost. Urgent work beyond its guarantee is short and soon late, while the runs it preempts still have slack: it
 * may discard as much work as it does itself, while it can still end on time. A higher limit would discard more work
 * without more jobs ending on time.
 */
import type { RankedUnit } from './orderUnits.js'
import { measureCores } from './resources.js'
import type { StartUnit } from './startUnit.js'
import { urgentPriority } from './urgentPriority.js'

const millisecondsPerSecond = 1000

/** Returns the limit in core-seconds; 0 if the unit may preempt nothing. */
export function computeStopCostLimit({
  isGuaranteed,
  job,
  step,
  waiting,
  timeliness,
}: RankedUnit): number {
  if (isGuaranteed) return Infinity
  if (job.queue.priority !== urgentPriority || timeliness !== 'on-time') return 0
  return measureWaitingWork({ step, waiting })
}

/** Returns the work of the unit's waiting tasks in core-seconds. */
export function measureWaitingWork({ step, waiting }: Pick<StartUnit, 'step' | 'waiting'>): number {
  return (
    (waiting.length * measureCores(step.needs) * step.expectedRunTimeMs) / millisecondsPerSecond
  )
}
