/**
 * Runs a read with hedged requests. A read changes nothing, so while an attempt is unanswered a further one is sent, and
 * the first answer counts. The read goes on until the caller's deadline while a member may still answer; a refusal, such
 * as that no member leads, is returned once `patienceMs` is over.
 */
import { Wake, type Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { AttemptResult } from './attemptResult.js'
import type { CallTrace } from './callTrace.js'
import type { LeaderCaller } from './leaderCaller.js'
import type { Operation } from './operation.js'

/**
 * The wait for an answer before a second attempt is sent; it doubles before each further one. Many times what the slowest
 * read of a burst takes. If the second attempt waited for the whole timeout of the first, a read over dead connections
 * would end without an answer.
 */
const hedgeAfterMs = 300
/** Pause after a failed attempt: gives a member that was just elected time to get ready. */
const retryPauseMs = 20
/** An attempt may search this long even after `patienceMs`: a leader that was silent is mostly found again at once. */
const searchMsMin = 300
/** Part of the caller's time that is left unused: enough to return the error and for one more call at another entry. */
export const answerMarginMs = 500

export interface HedgedReadOptions<T> {
  clock: Clock
  caller: LeaderCaller
  operation: Operation<T>
  trace: CallTrace
  /** After this long, an error that says that the read has not run is returned. */
  patienceMs: number
}

/** Errors: rejects with the leader's own refusal, with the reason why no leader was reached, and `outcome-unknown`. */
export function runHedgedRead<T>(opts: HedgedReadOptions<T>): Promise<T> {
  return new HedgedRead(opts).run()
}

class HedgedRead<T> {
  readonly #opts: HedgedReadOptions<T>
  readonly #timeLimitMs: number
  readonly #results: AttemptResult<T>[] = []
  readonly #wake = new Wake()
  readonly #finished = new AbortController()
  #hedgeAfterMs = hedgeAfterMs

  constructor(opts: HedgedReadOptions<T>) {
    this.#opts = opts
    const { deadlineMs = 0 } = opts.trace
    this.#timeLimitMs = Math.max(opts.patienceMs, deadlineMs - answerMarginMs)
  }

  async run(): Promise<T> {
    const { clock } = this.#opts
    try {
      for (;;) {
        // While an attempt searches for the leader, another would only wait for the same search.
        if (!this.#opts.trace.isSearching) void this.#sendAttempt()
        await this.#awaitResult()
        const attempts = this.#results.splice(0)
        for (const attempt of attempts) {
          if (!(attempt instanceof NettlespurError)) return attempt.value
          this.#throwIfFinal(attempt)
        }
        if (this.#remainingMs <= 0) throw this.#createTimeoutError(attempts[0])
        if (attempts.length > 0) await clock.sleep(retryPauseMs)
      }
    } finally {
      this.#finished.abort()
    }
  }

  get #remainingMs(): number {
    return this.#timeLimitMs - this.#opts.trace.tookMs
  }

  async #sendAttempt(): Promise<void> {
    const { caller, operation, trace, patienceMs } = this.#opts
    const remainingMs = this.#remainingMs
    const patienceLeftMs = Math.max(searchMsMin, patienceMs - trace.tookMs)
    const searchMs = Math.max(0, Math.min(remainingMs, patienceLeftMs))
    const limits = {
      timeoutMs: remainingMs,
      silentAfterMs: this.#hedgeAfterMs,
      unwanted: this.#finished.signal,
    }
    this.#results.push(await caller.tryOnce(operation, { trace, searchMs, limits }))
    this.#wake.notify()
  }

  async #awaitResult(): Promise<void> {
    const waitMs = Math.max(0, Math.min(this.#hedgeAfterMs + retryPauseMs, this.#remainingMs))
    await this.#wake.wait(this.#opts.clock, waitMs, this.#finished.signal)
    if (this.#results.length === 0) this.#hedgeAfterMs *= 2
  }

  /** Throws if the error is the leader's answer, if no leader was reached for `patienceMs`, or if the caller is gone. */
  #throwIfFinal(error: NettlespurError): void {
    const { trace, patienceMs } = this.#opts
    const { ran, isTransient } = error.answer
    const isRefused = ran === 'no' && trace.tookMs >= patienceMs
    if (!isTransient || isRefused || trace.isCallerGone) throw error
  }

  #createTimeoutError(cause: AttemptResult<T> | undefined): NettlespurError {
    const message = `no whole answer within ${Math.round(this.#opts.trace.tookMs)} ms`
    return new NettlespurError('outcome-unknown', message, { cause })
  }
}
