/**
 * Reduces a speed distribution to two bounds, so that many units can be compared with it in a round without evaluating
 * the distribution for each of them.
 */
import type { SpeedDistribution } from '@nettlespur/batch.speeds'

/** An upstream is fast enough if it has the needed speed with at least this probability. */
export const surelyFastProbability = 0.7
/** An upstream is too slow if it has the needed speed with less than this probability. */
export const possiblyFastProbability = 0.3

export interface SpeedRange {
  /** The highest speed for which the upstream is fast enough. */
  readonly surely: number
  /** The highest speed for which the upstream is not known to be too slow. */
  readonly possibly: number
}

const slowest = 0.2
const fastest = 8
/** Bounds the error of the bounds to half a percent. */
const bisections = 10

/** Distributions are immutable, and most are the same in many rounds. */
const rangeCache = new WeakMap<SpeedDistribution, SpeedRange>()

export function getSpeedRange(speed: SpeedDistribution): SpeedRange {
  const known = rangeCache.get(speed)
  if (known !== undefined) return known
  const range = {
    surely: findHighestSpeed(speed, surelyFastProbability),
    possibly: findHighestSpeed(speed, possiblyFastProbability),
  }
  rangeCache.set(speed, range)
  return range
}

/** Returns the highest speed that the upstream has with at least the given probability; 0 if it is below `slowest`. */
function findHighestSpeed(speed: SpeedDistribution, probability: number): number {
  if (speed.atLeast(slowest) < probability) return 0
  let low = slowest
  let high = fastest
  for (let step = 0; step < bisections; step++) {
    const middle = Math.sqrt(low * high)
    if (speed.atLeast(middle) >= probability) low = middle
    else high = middle
  }
  return low
}
