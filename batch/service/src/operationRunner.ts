/** Sends one call to whoever leads until it has an answer or its time is up, and tells the log of it. */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { CallLog, CallLogOptions } from './callLog.js'
import { isFinal, isInDoubt } from './callOutcomes.js'
import { CallTrace } from './callTrace.js'
import type { CallerWait } from './callerWait.js'
import { LeaderCaller, type LeaderCallerOptions } from './leaderCaller.js'
import type { LeaderFinderOptions } from './leaderFinder.js'
import type { Operation } from './operation.js'
import { runRead } from './runRead.js'

/** Before each further try: an instance just elected names itself, and only a pause lets it get ready. */
const retryPauseMs = 20

export interface OperationRunnerOptions
  extends LeaderFinderOptions, LeaderCallerOptions, CallLogOptions {
  /** Of the whole call. */
  patienceMs: number
  log: CallLog
}

export class OperationRunner {
  readonly #opts: OperationRunnerOptions
  readonly #clock: Clock
  readonly #caller: LeaderCaller

  constructor(opts: OperationRunnerOptions) {
    this.#opts = opts
    this.#clock = opts.clock
    this.#caller = new LeaderCaller(opts)
  }

  run<T>(operation: Operation<T>, wait: CallerWait = {}): EitherAsync<NettlespurError, T> {
    return tryAsync(async () => {
      const trace = new CallTrace(this.#clock, wait)
      try {
        const value = await this.#runUntilAnswered(operation, trace)
        this.#note(operation, trace)
        return value
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        this.#note(operation, trace, error)
        throw error
      }
    })
  }

  #note(operation: Operation<unknown>, trace: CallTrace, error?: NettlespurError): void {
    this.#opts.log.note(operation, trace, this.#opts.finder.leaderAddress, error)
  }

  #runUntilAnswered<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    if (operation.sort !== 'read') return this.#runInTurn(operation, trace)
    const { clock, patienceMs } = this.#opts
    return runRead({ clock, patienceMs, caller: this.#caller, operation, trace })
  }

  /** One try after the other: what may change something is never under way twice from here. */
  async #runInTurn<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    const { patienceMs } = this.#opts
    let mayHaveRun = false
    for (;;) {
      const leftMs = patienceMs - trace.tookMs
      const attempt = await this.#caller.tryOnce(operation, { trace, leftMs, limits: {} })
      if (!(attempt instanceof NettlespurError)) return attempt.value
      mayHaveRun ||= isInDoubt(attempt)
      if (isFinal(attempt)) throw attempt
      if (trace.tookMs >= patienceMs) throw toFinalError(attempt, mayHaveRun)
      await this.#clock.sleep(retryPauseMs)
    }
  }
}

/** What is told once the time of a call is up. */
function toFinalError(last: NettlespurError, mayHaveRun: boolean): NettlespurError {
  if (!mayHaveRun) return last
  return new NettlespurError('outcome-unknown', last.message, { cause: last })
}
