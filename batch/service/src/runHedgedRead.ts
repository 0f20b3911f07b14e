/**
 * Runs a read until it has an answer. A read changes nothing, so that one without an answer is asked again
 * while the first may still be answered, and the first answer counts. It goes on within the time that the
 * caller gave where a member may still answer; where none leads the caller is told after the usual patience.
 */
import { Wake, type Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { isFinal, isInDoubt, type AttemptResult } from './callOutcomes.js'
import type { CallTrace } from './callTrace.js'
import type { LeaderCaller } from './leaderCaller.js'
import type { Operation } from './operation.js'

/**
 * Many times what the slowest of a burst of reads takes; twice as long before each further question. With the whole
 * time of a call before the second question, a read over silent connections would end without an answer.
 */
const hedgeAfterMs = 300
/** What a try learned of the leader counts for the next one, and a member just elected gets ready. */
const retryPauseMs = 20
/** For a further question after a leader has been silent: that one is mostly found again at once. */
const searchMsMin = 300
/** Left of the caller's time: the way back, and one more question at another entry. */
export const answerMarginMs = 500

export interface HedgedReadOptions<T> {
  clock: Clock
  caller: LeaderCaller
  operation: Operation<T>
  trace: CallTrace
  /** After this long a refusal that is certain is told. */
  patienceMs: number
}

/** Errors: rejects with the leader's own refusal, with what keeps the call from it, and `outcome-unknown`. */
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
        // While nobody is known to lead, one try waits for all.
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

  /** Goes on after what is no answer, unless it is hopeless or nobody waits any more. */
  #throwIfFinal(error: NettlespurError): void {
    const { trace, patienceMs } = this.#opts
    const isRefused = !isInDoubt(error) && trace.tookMs >= patienceMs
    if (isFinal(error) || isRefused || trace.isCallerGone) throw error
  }

  #createTimeoutError(cause: AttemptResult<T> | undefined): NettlespurError {
    const message = `no whole answer within ${Math.round(this.#opts.trace.tookMs)} ms`
    return new NettlespurError('outcome-unknown', message, { cause })
  }
}
