/** What one call waited on: searches for the leader, and calls of members with what each ended in. */
import type { Clock } from '@nettlespur/core.clock'
import type { LogEvent } from '@nettlespur/core.logger'
import type { CallerWait } from './callerWait.js'

/** What was known of a member when it was called as the leader. */
export interface Belief {
  readonly address: string
  /** Since it was first believed to lead. */
  readonly ageMs: number
  /** Since it last answered this process. */
  readonly quietMs: number
}

export class CallTrace {
  readonly #clock: Clock
  readonly #startMs: number
  readonly #wait: CallerWait
  readonly #ends: string[] = []
  #belief: Belief | undefined
  #searches = 0
  #searchMs = 0

  constructor(clock: Clock, wait: CallerWait) {
    this.#clock = clock
    this.#startMs = clock.monotonicMs()
    this.#wait = wait
  }

  get tookMs(): number {
    return this.#clock.monotonicMs() - this.#startMs
  }

  get searchMs(): number {
    return this.#searchMs
  }

  get callerIsGone(): boolean {
    return this.#wait.gone?.aborted === true
  }

  async search<T>(run: () => Promise<T>): Promise<T> {
    const startMs = this.#clock.monotonicMs()
    this.#searches += 1
    try {
      return await run()
    } finally {
      this.#searchMs += this.#clock.monotonicMs() - startMs
    }
  }

  /** One call of a member: the first belief is the one that the call came to. */
  noteAttempt(belief: Belief, outcome: string, tookMs: number): void {
    this.#belief ??= belief
    this.#ends.push(`${outcome}@${belief.address}+${Math.round(tookMs)}ms`)
  }

  /** Fields of a log line. */
  describe(): Omit<LogEvent, 'event'> {
    return {
      tookMs: Math.round(this.tookMs),
      deadlineMs: this.#wait.deadlineMs,
      callerIsGone: this.callerIsGone ? true : undefined,
      beliefAgeMs: round(this.#belief?.ageMs),
      leaderQuietMs: round(this.#belief?.quietMs),
      searches: this.#searches,
      searchMs: Math.round(this.#searchMs),
      attempts: this.#ends.length,
      attemptEnds: this.#ends.length === 0 ? undefined : this.#ends,
    }
  }
}

function round(durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs)
}
