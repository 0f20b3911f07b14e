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
import { answerMarginMs, runHedgedRead } from './runHedgedRead.js'

/** Before a further try: an instance just elected names itself, and only pauses let it get ready; each is longer. */
const initialBackoffMs = 20
const maxBackoffMs = 160
const backoffFactor = 2

/** Members that are up answer a search within 300 ms, and searches come several a second while nobody is known to lead. */
const membersSilentAfterMs = 1000

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
        this.#logCall(operation, trace)
        return value
      } catch (thrown) {
        const error = toNettlespurError(thrown)
        this.#logCall(operation, trace, error)
        throw error
      }
    })
  }

  #logCall(operation: Operation<unknown>, trace: CallTrace, error?: NettlespurError): void {
    this.#opts.log.record(operation, trace, this.#opts.finder.leaderAddress, error)
  }

  #runUntilAnswered<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    const { clock, patienceMs } = this.#opts
    const refusal = this.#caller.createEarlyRefusal()
    if (refusal !== undefined) return Promise.reject(refusal)
    if (operation.kind !== 'read') return this.#runSequentially(operation, trace)
    return runHedgedRead({ clock, patienceMs, caller: this.#caller, operation, trace })
  }

  /** One try after the other: what may change something is never under way twice from here. */
  async #runSequentially<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    let mayHaveRun = false
    let backoffMs = initialBackoffMs
    for (;;) {
      const limitMs = this.#computeTimeLimitMs(operation, trace, mayHaveRun)
      const searchMs = Math.max(0, Math.min(searchSliceMs, limitMs - trace.tookMs))
      const attempt = await this.#caller.tryOnce(operation, { trace, searchMs, limits: {} })
      if (!(attempt instanceof NettlespurError)) return attempt.value
      mayHaveRun ||= isInDoubt(attempt)
      if (isFinal(attempt)) throw attempt
      const isOver =
        trace.isCallerGone || trace.tookMs >= this.#computeTimeLimitMs(operation, trace, mayHaveRun)
      if (isOver) throw toFinalError(attempt, mayHaveRun)
      await this.#clock.sleep(backoffMs)
      backoffMs = Math.min(maxBackoffMs, backoffMs * backoffFactor)
    }
  }

  /**
   * How long the call may take. What has surely not run is told soon, with when to come back. What may have run is sent
   * again for as long as the caller waits and members answer: under its id it runs once, so a whole answer takes the
   * place of a doubt that the caller could not settle either. Where no member answers, another entry may do better.
   */
  #computeTimeLimitMs(
    operation: Operation<unknown>,
    { deadlineMs }: CallTrace,
    mayHaveRun: boolean,
  ): number {
    const { finder } = this.#opts
    const { patienceMs = this.#opts.patienceMs } = operation
    if (deadlineMs === undefined) return patienceMs
    const callerTimeLimitMs = deadlineMs - answerMarginMs
    const { quietMs = Infinity } = finder
    return mayHaveRun && quietMs < membersSilentAfterMs
      ? Math.max(patienceMs, callerTimeLimitMs)
      : Math.min(patienceMs, Math.max(0, callerTimeLimitMs))
  }
}

/** What is told once the time of a call is up. */
function toFinalError(last: NettlespurError, mayHaveRun: boolean): NettlespurError {
  if (!mayHaveRun) return last
  return new NettlespurError('outcome-unknown', last.message, { cause: last })
}
