/**
 * Measures how long no leader has been known, and creates the refusals of callers. A call early in an outage waits, since
 * an election is short; once the outage has outlasted an election, calls are refused at once.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'

/**
 * An election takes 0.7 to 1.1 s from the leader's last message, and a second one follows if the first finds no majority.
 * A call that arrives before may still be answered; a longer outage ends only with a restart or the end of a partition.
 */
export const electionWindowMs = 2000
/** A search that ended longer ago tells nothing about the present. */
const searchFreshMs = 1000
/** Most elections are over after this time. */
const retryAfterMsMin = 500
/** Kept short: a caller's retry is cheap, and a late answer is not. */
const retryAfterMsMax = 2000
/** Jitter: callers refused at the same moment retry spread over this share of their delay. */
const jitterShare = 0.4
/** An outage is logged after this long, and again each time it has lasted twice as long. */
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

  /** How long the outage has lasted; 0 while a leader is known. */
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

  /** Records that a search has ended. `heard` says for the log which members answered. */
  recordSearch(heard: string): void {
    this.#searches += 1
    this.#searchedMs = this.#opts.clock.monotonicMs()
    if (this.durationMs < this.#nextLogMs) return
    this.#nextLogMs = this.durationMs * 2
    const missingMs = Math.round(this.durationMs)
    this.#opts.logger.warn({ event: 'leader.missing', missingMs, searches: this.#searches, heard })
  }

  /** Whether the outage has outlasted an election and a recent search has found no leader. */
  get isLong(): boolean {
    const isFresh = this.#opts.clock.monotonicMs() - this.#searchedMs < searchFreshMs
    return this.#sinceMs !== undefined && isFresh && this.durationMs > electionWindowMs
  }

  /** The error for a call that has not run because no leader is known. */
  createRefusal(): NettlespurError {
    return new NettlespurError('not-leader', 'no member leads', {
      retryAfterMs: this.#computeRetryAfterMs(),
    })
  }

  /** Half of the outage so far, within limits: the longer it has lasted, the longer it is expected to go on. */
  #computeRetryAfterMs(): number {
    const expectedMs = Math.min(retryAfterMsMax, this.durationMs / 2)
    if (expectedMs <= retryAfterMsMin * 2) return retryAfterMsMin
    const random = this.#opts.random ?? Math.random
    return Math.round(expectedMs * (1 - jitterShare / 2 + jitterShare * random()))
  }
}
