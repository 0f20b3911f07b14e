/**
 * How fast one workspace's queue is served here, from the time between grants. It tells a refused caller
 * when to come back, and a new one whether its turn can come before its deadline.
 */
import type { Clock } from '@nettlespur/core.clock'

/** Weight of the newest interval in the moving average. */
const newestShare = 0.1
/** Grants before the average says anything. */
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

  /** Time without anybody waiting is no sign of slow service. */
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

  /** How long until `count` more are served, in milliseconds; undefined where too little was seen. */
  expectedWaitMs(count: number): number | undefined {
    if (this.#grants < grantsNeeded) return undefined
    const sinceLastMs = this.#clock.monotonicMs() - this.#lastGrantMs
    return count * Math.max(this.#intervalMs, sinceLastMs / grantsNeeded)
  }

  /** When a caller refused at a queue of `queued` finds it half empty, in milliseconds. */
  retryAfterMs(queued: number): number {
    const waitMs = this.expectedWaitMs(Math.max(1, queued / 2))
    if (waitMs === undefined) return unknownRetryMs
    return Math.min(longestRetryMs, Math.max(shortestRetryMs, Math.ceil(waitMs)))
  }
}
