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
import { answerMarginMs, runRead } from './runRead.js'

/** Before a further try: an instance just elected names itself, and only pauses let it get ready; each is longer. */
const firstPauseMs = 20
const longestPauseMs = 160
const pauseGrowth = 2

/** Members that are up answer a search within 300 ms, and searches come several a second while nobody is known to lead. */
const silentMs = 1000

/** After so long without a leader it is looked at anew whether the call is still worth its wait. */
const searchSliceMs = 400

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
    const { clock, patienceMs } = this.#opts
    const refusal = this.#caller.refuseAtOnce()
    if (refusal !== undefined) return Promise.reject(refusal)
    if (operation.sort !== 'read') return this.#runInTurn(operation, trace)
    return runRead({ clock, patienceMs, caller: this.#caller, operation, trace })
  }

  /** One try after the other: what may change something is never under way twice from here. */
  async #runInTurn<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    let mayHaveRun = false
    let pauseMs = firstPauseMs
    for (;;) {
      const limitMs = this.#limitMs(operation, trace, mayHaveRun)
      const searchMs = Math.max(0, Math.min(searchSliceMs, limitMs - trace.tookMs))
      const attempt = await this.#caller.tryOnce(operation, { trace, searchMs, limits: {} })
      if (!(attempt instanceof NettlespurError)) return attempt.value
      mayHaveRun ||= isInDoubt(attempt)
      if (isFinal(attempt)) throw attempt
      const isOver =
        trace.callerIsGone || trace.tookMs >= this.#limitMs(operation, trace, mayHaveRun)
      if (isOver) throw toFinalError(attempt, mayHaveRun)
      await this.#clock.sleep(pauseMs)
      pauseMs = Math.min(longestPauseMs, pauseMs * pauseGrowth)
    }
  }

  /**
   * How long the call may take. What has surely not run is told soon, with when to come back. What may have run is sent
   * again for as long as the caller waits and members answer: under its id it runs once, so a whole answer takes the
   * place of a doubt that the caller could not settle either. Where no member answers, another entry may do better.
   */
  #limitMs(operation: Operation<unknown>, { deadlineMs }: CallTrace, mayHaveRun: boolean): number {
    const { finder } = this.#opts
    const { patienceMs = this.#opts.patienceMs } = operation
    if (deadlineMs === undefined) return patienceMs
    const wholeMs = deadlineMs - answerMarginMs
    const { quietMs = Infinity } = finder
    return mayHaveRun && quietMs < silentMs
      ? Math.max(patienceMs, wholeMs)
      : Math.min(patienceMs, Math.max(0, wholeMs))
  }
}

/** What is told once the time of a call is up. */
function toFinalError(last: NettlespurError, mayHaveRun: boolean): NettlespurError {
  if (!mayHaveRun) return last
  return new NettlespurError('outcome-unknown', last.message, { cause: last })
}
