/**
 * Tracks until when an upstream may still run or start what it was ordered to. The bound covers unanswered orders, and
 * orders of earlier leaders.
 */
import { ClockEstimate } from './clockEstimate.js'

/** The previous leader may have renewed leases for a moment after this one took over. */
const predecessorMarginMs = 1000

export interface LeaseTrackerOptions {
  /** The longest lease that any leader grants. */
  leaseMs: number
  /** When this leader took over, on its own clock; undefined if earlier leaders left no placed runs there. */
  takeoverMs: number | undefined
}

export class LeaseTracker {
  readonly clock = new ClockEstimate()
  readonly #leaseMs: number
  readonly #predecessorEndMs: number
  /** The latest lease end sent to the upstream, on its clock. */
  #latestEndMs = 0

  constructor({ leaseMs, takeoverMs }: LeaseTrackerOptions) {
    this.#leaseMs = leaseMs
    this.#predecessorEndMs =
      takeoverMs === undefined
        ? -Infinity
        : takeoverMs + ClockEstimate.toMaxLocalMs(leaseMs + predecessorMarginMs)
  }

  /** Computes the end of a lease granted now, on the upstream's clock, and records it as granted. */
  extend(nowMs: number): number {
    const endMs = Math.floor(this.clock.lowerBoundMs(nowMs) + this.#leaseMs)
    this.#latestEndMs = Math.max(this.#latestEndMs, endMs)
    return endMs
  }

  /** Whether all leases granted by this and earlier leaders have certainly expired, so that nothing can run there. */
  hasExpired(nowMs: number): boolean {
    return nowMs >= this.#predecessorEndMs && this.clock.lowerBoundMs(nowMs) >= this.#latestEndMs
  }
}
