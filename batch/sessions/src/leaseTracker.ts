/**
 * Until when an upstream may still run, or come to run, what it was told. The bound covers orders without
 * an answer, and those of the leader before this one.
 */
import { ClockEstimate } from './clockEstimate.js'

/** For the leader before: it may have renewed leases for a moment after this one took over. */
const predecessorMarginMs = 1000

export interface LeaseTrackerOptions {
  /** The longest lease that any leader gives. */
  leaseMs: number
  /** When this leader took over, on its own clock; undefined where the upstream holds no orders of earlier ones. */
  takeoverMs: number | undefined
}

export class LeaseTracker {
  readonly clock = new ClockEstimate()
  readonly #leaseMs: number
  readonly #predecessorEndMs: number
  /** The latest end given out, on the upstream's clock. */
  #latestEndMs = 0

  constructor({ leaseMs, takeoverMs }: LeaseTrackerOptions) {
    this.#leaseMs = leaseMs
    this.#predecessorEndMs =
      takeoverMs === undefined
        ? -Infinity
        : takeoverMs + ClockEstimate.toMaxLocalMs(leaseMs + predecessorMarginMs)
  }

  /** The end, on the upstream's clock, of a lease given now; noted as given. */
  extend(nowMs: number): number {
    const endMs = Math.floor(this.clock.lowerBoundMs(nowMs) + this.#leaseMs)
    this.#latestEndMs = Math.max(this.#latestEndMs, endMs)
    return endMs
  }

  /** Nothing that any leader ordered there can run any more. */
  hasExpired(nowMs: number): boolean {
    return nowMs >= this.#predecessorEndMs && this.clock.lowerBoundMs(nowMs) >= this.#latestEndMs
  }
}
