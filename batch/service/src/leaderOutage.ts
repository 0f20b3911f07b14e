/**
 * How long nobody has been known to lead, and what callers are told of it. A call that comes early waits, since an
 * election is short; one that comes once the outage has outlasted that is refused at once, so that its caller need not
 * wait for what is known already.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'

/**
 * An election takes 0.7 to 1.1 s from the leader's last word, and a second one follows where the first found no
 * majority. A call that comes before may still be answered; what lasts longer waits for a restart or the end of a cut.
 */
export const electionWindowMs = 2000
/** A search that ended longer ago says nothing of now. */
const searchFreshMs = 1000
/** Most elections are over by then. */
const retryAfterMsMin = 500
/** An outage beyond an election ends with a restart or a cut; asking again is cheap, and an answer late is not. */
const retryAfterMsMax = 2000
/** Callers that are refused in the same moment come back spread over this share of their wait. */
const jitterShare = 0.4
/** The log tells of an outage after this long, and then each time it has lasted twice as long. */
const firstLogMs = 1000

export interface LeaderOutageOptions {
  clock: Clock
  logger: Logger
  random?: (() => number) | undefined
}

export class LeaderOutage {
  readonly #opts: LeaderOutageOptions
  /** Undefined while a leader is known. */
  #sinceMs: number | undefined
  #searchedMs = -Infinity
  #searches = 0
  #nextLogMs = firstLogMs

  constructor(opts: LeaderOutageOptions) {
    this.#opts = opts
    this.#sinceMs = opts.clock.monotonicMs()
  }

  /** In milliseconds; 0 while a leader is known. */
  get durationMs(): number {
    return this.#sinceMs === undefined ? 0 : this.#opts.clock.monotonicMs() - this.#sinceMs
  }

  begin(leaderAddress: string | undefined, reason: string): void {
    this.#sinceMs = this.#opts.clock.monotonicMs()
    this.#searchedMs = -Infinity
    this.#searches = 0
    this.#nextLogMs = firstLogMs
    this.#opts.logger.info({ event: 'leader.lost', leaderAddress, reason })
  }

  end(leaderAddress: string, reason: string): void {
    const fields = { leaderAddress, reason, missingMs: Math.round(this.durationMs) }
    this.#opts.logger.info({ event: 'leader.believed', ...fields, searches: this.#searches })
    this.#sinceMs = undefined
  }

  /** A search has ended; `heard` is for the log. */
  recordSearch(heard: string): void {
    this.#searches += 1
    this.#searchedMs = this.#opts.clock.monotonicMs()
    if (this.durationMs < this.#nextLogMs) return
    this.#nextLogMs = this.durationMs * 2
    const missingMs = Math.round(this.durationMs)
    this.#opts.logger.warn({ event: 'leader.missing', missingMs, searches: this.#searches, heard })
  }

  /** A search has just found nobody, and the outage has lasted longer than elections do. */
  get isLong(): boolean {
    const isFresh = this.#opts.clock.monotonicMs() - this.#searchedMs < searchFreshMs
    return this.#sinceMs !== undefined && isFresh && this.durationMs > electionWindowMs
  }

  /** What a caller is told whose call has not run. */
  createRefusal(): NettlespurError {
    return new NettlespurError('not-leader', 'no member leads', {
      retryAfterMs: this.#computeRetryAfterMs(),
    })
  }

  /** As long again as half of the outage so far: what has lasted longer is expected to last longer. */
  #computeRetryAfterMs(): number {
    const expectedMs = Math.min(retryAfterMsMax, this.durationMs / 2)
    if (expectedMs <= retryAfterMsMin * 2) return retryAfterMsMin
    const random = this.#opts.random ?? Math.random
    return Math.round(expectedMs * (1 - jitterShare / 2 + jitterShare * random()))
  }
}
