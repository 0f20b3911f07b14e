/** Records where the time of one call went: searches for the leader, and attempts at members with their outcomes. */
import type { Clock } from '@nettlespur/core.clock'
import type { LogEvent } from '@nettlespur/core.logger'
import type { CallerWait } from './callerWait.js'

/** What was known of the presumed leader when a call was sent to it. */
export interface LeaderBelief {
  readonly address: string
  /** Time since this process began to take it for the leader. */
  readonly ageMs: number
  /** Time since it last answered this process. */
  readonly quietMs: number
}

interface StartedAttempt {
  readonly address: string
  readonly startMs: number
  /** Outcome, address and duration for the log; empty while the attempt is running. */
  end: string
}

export class CallTrace {
  readonly #clock: Clock
  readonly #startMs: number
  readonly #wait: CallerWait
  readonly #attempts: StartedAttempt[] = []
  #firstBelief: LeaderBelief | undefined
  #searches = 0
  #searchMs = 0
  #runningSearches = 0

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

  get deadlineMs(): number | undefined {
    return this.#wait.deadlineMs
  }

  get isCallerGone(): boolean {
    return this.#wait.gone?.aborted === true
  }

  /** Whether an attempt is waiting for a leader to be found. */
  get isSearching(): boolean {
    return this.#runningSearches > 0
  }

  /** Runs a search for the leader and adds its duration to the trace. */
  async trackSearch<T>(run: () => Promise<T>): Promise<T> {
    const startMs = this.#clock.monotonicMs()
    this.#searches += 1
    this.#runningSearches += 1
    try {
      return await run()
    } finally {
      this.#runningSearches -= 1
      this.#searchMs += this.#clock.monotonicMs() - startMs
    }
  }

  /**
   * Records that a member is being called and returns the function to call with the outcome. The log line shows the
   * belief of the first attempt only.
   */
  startAttempt(belief: LeaderBelief): (outcome: string) => void {
    const attempt = { address: belief.address, startMs: this.#clock.monotonicMs(), end: '' }
    this.#firstBelief ??= belief
    this.#attempts.push(attempt)
    return (outcome) => {
      attempt.end = `${outcome}@${attempt.address}+${this.#elapsedMs(attempt.startMs)}ms`
    }
  }

  /** Fields of a log line. */
  describe(): Omit<LogEvent, 'event'> {
    return {
      tookMs: Math.round(this.tookMs),
      deadlineMs: this.#wait.deadlineMs,
      callerIsGone: this.isCallerGone ? true : undefined,
      beliefAgeMs: round(this.#firstBelief?.ageMs),
      leaderQuietMs: round(this.#firstBelief?.quietMs),
      searches: this.#searches,
      searchMs: Math.round(this.#searchMs),
      attempts: this.#attempts.length,
      attemptEnds: this.#attempts.length === 0 ? undefined : this.#listEnds(),
    }
  }

  /** An attempt without an outcome is shown as `open`. */
  #listEnds(): string[] {
    return this.#attempts.map(({ address, startMs, end }) => {
      return end === '' ? `open@${address}+${this.#elapsedMs(startMs)}ms` : end
    })
  }

  #elapsedMs(startMs: number): number {
    return Math.round(this.#clock.monotonicMs() - startMs)
  }
}

function round(durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs)
}
