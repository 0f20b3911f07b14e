/**
 * What a round has to know of the speeds and the stability of one pool. Placement by speed answers fleets on which a known
 * part of the upstreams is so slow that urgent work is late there however early it starts. On all others it is off.
 */
import type { SchedulableUpstream } from './schedulerView.js'
import { getSpeedRange, possiblyFastProbability } from './speedRange.js'

/** Below this share of slow upstreams, urgent work meets them too seldom to direct all other work there. */
const slowShareMin = 0.1

export class PoolSpeeds {
  /** Whether the pool calls for placement by speed. */
  readonly isGraded: boolean
  readonly hasUnstable: boolean
  /** The speed below which jobs of the most urgent queue are late even if they start at once. */
  readonly urgentSpeed: number
  /** The fastest speed on which a unit may count. Upstreams that are not known count with their mean. */
  readonly fastestSpeed: number

  /** `stretches` are those of the queues of the pool. */
  constructor(upstreams: readonly SchedulableUpstream[], stretches: readonly number[]) {
    this.hasUnstable = upstreams.some(({ isUnstable }) => isUnstable)
    this.urgentSpeed = findUrgentSpeed(upstreams, stretches)
    const slow = upstreams.filter((upstream) => this.#isKnownSlow(upstream))
    this.isGraded = slow.length > 0 && slow.length >= upstreams.length * slowShareMin
    this.fastestSpeed = this.isGraded
      ? upstreams.reduce((fastest, upstream) => Math.max(fastest, reliableSpeed(upstream)), 0)
      : Infinity
  }

  /** Whether the upstream is fast enough for a unit that needs the speed; false if its speed is not known. */
  isFastEnough({ speed }: SchedulableUpstream, neededSpeed: number): boolean {
    return speed.isKnown && neededSpeed <= getSpeedRange(speed).surely
  }

  /** Whether the upstream is too slow for a unit that needs the speed; false if its speed is not known. */
  isTooSlow({ speed }: SchedulableUpstream, neededSpeed: number): boolean {
    return speed.isKnown && neededSpeed > getSpeedRange(speed).possibly
  }

  /** Whether the upstream is too slow for the most urgent queue. */
  isSlow(upstream: SchedulableUpstream): boolean {
    return this.isTooSlow(upstream, this.urgentSpeed)
  }

  #isKnownSlow({ speed }: SchedulableUpstream): boolean {
    return speed.isKnown && speed.atLeast(this.urgentSpeed) < possiblyFastProbability
  }
}

/** Queues whose objective no upstream could meet are left out. Returns 0 if no queue is left. */
function findUrgentSpeed(
  upstreams: readonly SchedulableUpstream[],
  stretches: readonly number[],
): number {
  const fastestMean = upstreams.reduce((fastest, { speed }) => Math.max(fastest, speed.mean), 0)
  const speeds = stretches.map((stretch) => 1 / stretch)
  return Math.max(0, ...speeds.filter((speed) => speed <= fastestMean))
}

function reliableSpeed({ speed }: SchedulableUpstream): number {
  return speed.isKnown ? getSpeedRange(speed).surely : speed.mean
}
