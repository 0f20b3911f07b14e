/**
 * Tracks until when an upstream may still run or start what it was ordered to. The bound covers unanswered orders, and
 * orders of earlier leaders or meant for earlier processes.
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
  #predecessorEndMs = -Infinity
  /** The latest lease end sent to the upstream, on its clock. */
  #latestEndMs = 0

  constructor({ leaseMs, takeoverMs }: LeaseTrackerOptions) {
    this.#leaseMs = leaseMs
    if (takeoverMs !== undefined) this.noteTakeover(takeoverMs)
  }

  /** Records that until now orders of an earlier leader, or such as were meant for an earlier process, may have come. */
  noteTakeover(nowMs: number): void {
    this.#predecessorEndMs = nowMs + ClockEstimate.toMaxLocalMs(this.#leaseMs + predecessorMarginMs)
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
