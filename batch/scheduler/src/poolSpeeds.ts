/**
 * What a round has to know of the speeds and the stability of one pool. Placement by speed answers fleets on which a known
 * part of the upstreams is so slow that urgent work is late there however early it starts. On all others it is off.
 */
import { maxOf, minOf } from '@nettlespur/core.lists'
import { runTimeMargin } from './neededSpeed.js'
import type { UpstreamAllocation } from './upstreamAllocation.js'
import type { SchedulableUpstream } from './schedulerView.js'
import { possiblyFastProbability } from './speedRange.js'

/** Below this share of slow upstreams, urgent work meets them too seldom to direct all other work there. */
const slowShareMin = 0.1
/** The probability of the needed speed below which an upstream is slow beyond doubt, however few others are known. */
const certainlySlowProbability = 0.1
/**
 * While most upstreams are not known, this share of the known ones has to be slow: more than are taken for slow by mistake.
 * Work that is spread over the others then shows how fast they are.
 */
const slowShareOfKnownMin = 0.15
const slowCountMin = 4
/** With fewer known upstreams, chance decides about the speed in their middle. */
const knownCountMin = 8

export class PoolSpeeds {
  /** Whether the pool calls for placement by speed. */
  readonly isGraded: boolean
  /** Number of known upstreams that are too slow for the most urgent queue, compared with the usual one of the pool. */
  readonly slowCount: number
  readonly count: number
  readonly hasUnstable: boolean
  /** The speed below which jobs of the most urgent queue are late even if they start at once. */
  readonly urgentSpeed: number
  /** The fastest speed on which a unit may count: the highest one for which an upstream is fast enough. */
  readonly fastestSpeed: number
  /** The highest speed for which no upstream is too slow. */
  readonly slowestSpeed: number

  /** `stretches` are those of the queues of the pool. */
  constructor(upstreams: readonly UpstreamAllocation[], stretches: readonly number[]) {
    const views = upstreams.map(({ view }) => view)
    this.hasUnstable = views.some(({ isUnstable }) => isUnstable)
    this.count = views.length
    const known = views.filter(({ speed }) => speed.isKnown)
    this.urgentSpeed = findUrgentSpeed(views, stretches)
    const slowSpeed = this.urgentSpeed * findUsualSpeed(known)
    const countBelow = (probability: number): number =>
      known.filter(({ speed }) => speed.atLeast(slowSpeed) < probability).length
    this.slowCount = countBelow(possiblyFastProbability)
    const certainCount = countBelow(certainlySlowProbability)
    const isShareOfKnown =
      this.slowCount >= slowCountMin && this.slowCount >= known.length * slowShareOfKnownMin
    this.isGraded = isShareOfKnown || certainCount >= Math.max(1, this.count * slowShareMin)
    this.fastestSpeed = Infinity
    this.slowestSpeed = 0
    if (!this.isGraded) return
    for (const upstream of upstreams) upstream.applySpeed()
    this.fastestSpeed = maxOf(upstreams.map(({ speedRange }) => speedRange?.surely ?? 0))
    this.slowestSpeed = minOf(upstreams.map(({ speedRange }) => speedRange?.possibly ?? Infinity))
  }

  /** Whether the upstream is too slow for the most urgent queue. */
  isSlow(upstream: UpstreamAllocation): boolean {
    return isTooSlow(upstream, this.urgentSpeed)
  }
}

/** Whether the upstream is fast enough for a unit that needs the speed; false if the pool is not placed by speed. */
export function isFastEnough({ speedRange }: UpstreamAllocation, neededSpeed: number): boolean {
  return speedRange !== undefined && neededSpeed <= speedRange.surely
}

/** Whether the upstream is too slow for a unit that needs the speed; false if the pool is not placed by speed. */
export function isTooSlow({ speedRange }: UpstreamAllocation, neededSpeed: number): boolean {
  return speedRange !== undefined && neededSpeed > speedRange.possibly
}

/**
 * Returns the speed of the upstream in the middle of the known ones, or 1 if that is faster. If callers declare run times
 * that are too short, all upstreams seem slow, and only the slower ones among them are.
 */
function findUsualSpeed(known: readonly SchedulableUpstream[]): number {
  if (known.length < knownCountMin) return 1
  const speeds = known.map(({ speed }) => speed.mean).sort((left, right) => left - right)
  return Math.min(1, speeds[Math.floor(speeds.length / 2)] ?? 1)
}

/** Queues whose objective no upstream could meet are left out. Returns 0 if no queue is left. */
function findUrgentSpeed(
  upstreams: readonly SchedulableUpstream[],
  stretches: readonly number[],
): number {
  const fastestMean = maxOf(
    upstreams.map(({ speed }) => speed.mean),
    0,
  )
  const speeds = stretches.map((stretch) => runTimeMargin / stretch)
  return maxOf(
    speeds.filter((speed) => speed <= fastestMean),
    0,
  )
}
