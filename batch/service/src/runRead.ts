/**
 * Runs a read until it has an answer. A read changes nothing, so that one without an answer is asked again
 * while the first may still be answered, and the first answer counts. It goes on within the time that the
 * caller gave where a member may still answer; where none leads the caller is told after the usual patience.
 */
import { Wake, type Clock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { isFinal, isInDoubt, type Attempt } from './callOutcomes.js'
import type { CallTrace } from './callTrace.js'
import type { LeaderCaller } from './leaderCaller.js'
import type { Operation } from './operation.js'

/**
 * Many times what the slowest of a burst of reads takes; twice as long before each further question. With the whole
 * time of a call before the second question, a read over silent connections would end without an answer.
 */
const askAgainAfterMs = 300
/** What a try learned of the leader counts for the next one, and a member just elected gets ready. */
const retryPauseMs = 20
/** For a further question after a leader has been silent: that one is mostly found again at once. */
const searchMsMin = 300
/** Left of the caller's time: the way back, and one more question at another entry. */
export const answerMarginMs = 500

export interface RunReadOptions<T> {
  clock: Clock
  caller: LeaderCaller
  operation: Operation<T>
  trace: CallTrace
  /** After this long a refusal that is certain is told. */
  patienceMs: number
}

/** Errors: rejects with the leader's own refusal, with what keeps the call from it, and `outcome-unknown`. */
export function runRead<T>(opts: RunReadOptions<T>): Promise<T> {
  return new RunningRead(opts).run()
}

class RunningRead<T> {
  readonly #opts: RunReadOptions<T>
  readonly #limitMs: number
  readonly #ended: Attempt<T>[] = []
  readonly #wake = new Wake()
  readonly #over = new AbortController()
  #pauseMs = askAgainAfterMs

  constructor(opts: RunReadOptions<T>) {
    this.#opts = opts
    const { deadlineMs = 0 } = opts.trace
    this.#limitMs = Math.max(opts.patienceMs, deadlineMs - answerMarginMs)
  }

  async run(): Promise<T> {
    const { clock } = this.#opts
    try {
      for (;;) {
        // While nobody is known to lead, one try waits for all.
        if (!this.#opts.trace.isSearching) void this.#ask()
        await this.#awaitEnd()
        const attempts = this.#ended.splice(0)
        for (const attempt of attempts) {
          if (!(attempt instanceof NettlespurError)) return attempt.value
          this.#judge(attempt)
        }
        if (this.#leftMs <= 0) throw this.#createLate(attempts[0])
        if (attempts.length > 0) await clock.sleep(retryPauseMs)
      }
    } finally {
      this.#over.abort()
    }
  }

  get #leftMs(): number {
    return this.#limitMs - this.#opts.trace.tookMs
  }

  async #ask(): Promise<void> {
    const { caller, operation, trace, patienceMs } = this.#opts
    const leftMs = this.#leftMs
    const patienceLeftMs = Math.max(searchMsMin, patienceMs - trace.tookMs)
    const searchMs = Math.max(0, Math.min(leftMs, patienceLeftMs))
    const limits = {
      timeoutMs: leftMs,
      silentAfterMs: this.#pauseMs,
      unwanted: this.#over.signal,
    }
    this.#ended.push(await caller.tryOnce(operation, { trace, searchMs, limits }))
    this.#wake.notify()
  }

  async #awaitEnd(): Promise<void> {
    const waitMs = Math.max(0, Math.min(this.#pauseMs + retryPauseMs, this.#leftMs))
    await this.#wake.wait(this.#opts.clock, waitMs, this.#over.signal)
    if (this.#ended.length === 0) this.#pauseMs *= 2
  }

  /** Goes on after what is no answer, unless it is hopeless or nobody waits any more. */
  #judge(error: NettlespurError): void {
    const { trace, patienceMs } = this.#opts
    const isRefused = !isInDoubt(error) && trace.tookMs >= patienceMs
    if (isFinal(error) || isRefused || trace.callerIsGone) throw error
  }

  #createLate(cause: Attempt<T> | undefined): NettlespurError {
    const message = `no whole answer within ${Math.round(this.#opts.trace.tookMs)} ms`
    return new NettlespurError('outcome-unknown', message, { cause })
  }
}
