/** A token bucket that starts full and refills by the injected clock. */
import type { Clock } from '@nettlespur/core.clock'

const millisecondsPerSecond = 1000

export interface TokenBucketRate {
  readonly perSecond: number
  /** Maximum number of tokens held. */
  readonly burst: number
}

export class TokenBucket {
  readonly #clock: Clock
  #rate: TokenBucketRate
  #tokens: number
  #filledAtMs: number

  constructor(clock: Clock, rate: TokenBucketRate) {
    this.#clock = clock
    this.#rate = rate
    this.#tokens = rate.burst
    this.#filledAtMs = clock.monotonicMs()
  }

  /** Takes one token if there is one; otherwise returns the time until there is one. */
  take(rate: TokenBucketRate): { taken: true } | { taken: false; retryAfterMs: number } {
    this.#refill(rate)
    if (this.#tokens >= 1) {
      this.#tokens -= 1
      return { taken: true }
    }
    const missing = 1 - this.#tokens
    return { taken: false, retryAfterMs: waitForTokens(missing, rate.perSecond) }
  }

  /** A full bucket equals a new one, so it can be discarded. */
  isFull(): boolean {
    this.#refill(this.#rate)
    return this.#tokens >= this.#rate.burst
  }

  #refill(rate: TokenBucketRate): void {
    const nowMs = this.#clock.monotonicMs()
    const gained = ((nowMs - this.#filledAtMs) / millisecondsPerSecond) * this.#rate.perSecond
    this.#tokens = Math.min(rate.burst, this.#tokens + gained)
    this.#filledAtMs = nowMs
    this.#rate = rate
  }
}

const longestWaitMs = 60_000

function waitForTokens(missing: number, perSecond: number): number {
  if (perSecond <= 0) return longestWaitMs
  return Math.min(longestWaitMs, Math.ceil((missing / perSecond) * millisecondsPerSecond))
}
