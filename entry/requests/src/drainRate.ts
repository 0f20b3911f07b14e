/**
 * Estimates how fast this entry drains one workspace's queue, from a moving average of the time between
 * grants. The queue uses it for the `retryAfterMs` of refusals and to predict whether a new request can be
 * served before its deadline.
 */
import type { Clock } from '@nettlespur/core.clock'

/** Weight of the newest interval in the moving average. */
const newestShare = 0.1
/** Number of grants below which the average is not used. */
const grantsNeeded = 8

const shortestRetryMs = 20
const longestRetryMs = 60_000
const unknownRetryMs = 1000

export class DrainRate {
  readonly #clock: Clock
  #grants = 0
  #lastGrantMs: number
  #intervalMs = 0

  constructor(clock: Clock) {
    this.#clock = clock
    this.#lastGrantMs = clock.monotonicMs()
  }

  /** Restarts the interval when the queue stops being empty, so that idle time does not count as slow service. */
  noteBacklogBegins(): void {
    this.#lastGrantMs = this.#clock.monotonicMs()
  }

  noteGrant(): void {
    const nowMs = this.#clock.monotonicMs()
    const intervalMs = nowMs - this.#lastGrantMs
    this.#lastGrantMs = nowMs
    this.#grants += 1
    const share = Math.max(newestShare, 1 / this.#grants)
    this.#intervalMs += (intervalMs - this.#intervalMs) * share
  }

  /** Estimates the time until `count` more requests are granted. Returns undefined if there were too few grants. */
  expectedWaitMs(count: number): number | undefined {
    if (this.#grants < grantsNeeded) return undefined
    const sinceLastMs = this.#clock.monotonicMs() - this.#lastGrantMs
    return count * Math.max(this.#intervalMs, sinceLastMs / grantsNeeded)
  }

  /** Estimates when a queue of `queued` requests will have drained by half: when a refused caller should retry. */
  retryAfterMs(queued: number): number {
    const waitMs = this.expectedWaitMs(Math.max(1, queued / 2))
    if (waitMs === undefined) return unknownRetryMs
    return Math.min(longestRetryMs, Math.max(shortestRetryMs, Math.ceil(waitMs)))
  }
}
