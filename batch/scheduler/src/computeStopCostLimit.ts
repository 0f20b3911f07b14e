/**
 * How much work of others may be thrown away so that a unit starts at once. Guaranteed work is promised its room
 * whatever that costs. Urgent work beyond its guarantee is short and soon too late, while what it stops has time
 * left: it may throw away as much as its own work, as long as it can still end in time. More would be thrown away
 * for nothing more that is in time.
 */
import type { RankedUnit } from './orderUnits.js'
import { measureCores } from './resources.js'

/** Queues of this priority have somebody waiting for the answer. */
export const urgentPriority = 0
const millisecondsPerSecond = 1000

/** In core-seconds; 0 where nothing may be stopped. */
export function computeStopCostLimit({
  isGuaranteed,
  job,
  step,
  waiting,
  timeliness,
}: RankedUnit): number {
  if (isGuaranteed) return Infinity
  if (job.queue.priority !== urgentPriority || timeliness !== 'on-time') return 0
  return (
    (waiting.length * measureCores(step.needs) * step.expectedRunTimeMs) / millisecondsPerSecond
  )
}
