/** Limits the rate of each workspace, with a token bucket for each recently active one. */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { TokenBucket, type TokenBucketRate } from './tokenBucket.js'

const bucketsKeptMax = 1024

export class RateLimiter {
  readonly #clock: Clock
  readonly #buckets = new Map<string, TokenBucket>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Takes a token. Returns undefined if there was one, otherwise an `over-limit` error with `retryAfterMs`. */
  acquire(workspace: string, rate: TokenBucketRate): NettlespurError | undefined {
    const outcome = this.#bucketOf(workspace, rate).take(rate)
    if (outcome.taken) return undefined
    const message = `more than ${rate.perSecond} a second here`
    return new NettlespurError('over-limit', message, { retryAfterMs: outcome.retryAfterMs })
  }

  #bucketOf(workspace: string, rate: TokenBucketRate): TokenBucket {
    const known = this.#buckets.get(workspace)
    if (known !== undefined) return known
    if (this.#buckets.size >= bucketsKeptMax) this.#forgetFull()
    const made = new TokenBucket(this.#clock, rate)
    this.#buckets.set(workspace, made)
    return made
  }

  #forgetFull(): void {
    for (const [workspace, bucket] of this.#buckets) {
      if (bucket.isFull()) this.#buckets.delete(workspace)
    }
  }
}
