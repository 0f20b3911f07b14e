/** Sends one call to the current leader, retries it until it has an answer or its time is up, and logs the outcome. */
import type { Clock } from '@nettlespur/core.clock'
import {
  AttemptHistory,
  NettlespurError,
  toNettlespurError,
  tryAsync,
} from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { CallLog, CallLogOptions } from './callLog.js'
import { CallTrace } from './callTrace.js'
import type { CallerWait } from './callerWait.js'
import { LeaderCaller, type LeaderCallerOptions } from './leaderCaller.js'
import type { LeaderFinderOptions } from './leaderFinderOptions.js'
import type { Operation } from './operation.js'
import { answerMarginMs, runHedgedRead } from './runHedgedRead.js'

/** Backoff between attempts. A leader just elected already names itself but needs time before it accepts calls. */
const initialBackoffMs = 20
const maxBackoffMs = 160
const backoffFactor = 2

/**
 * Without an answer from any member for this long, none is taken to be reachable. Members that are up answer a search
 * within 300 ms, and several searches a second run while no leader is known.
 */
const membersSilentAfterMs = 1000

/** The longest wait for a leader in one attempt; then the time limit and the caller's presence are checked again. */
const searchSliceMs = 400

export interface OperationRunnerOptions
  extends LeaderFinderOptions, LeaderCallerOptions, CallLogOptions {
  /** How long a call is retried; longer only for a read or a call that may have run, while the caller waits. */
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

  /** Runs one attempt after the other, so that this process never has a change in flight twice. */
  async #runSequentially<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    const history = new AttemptHistory()
    let backoffMs = initialBackoffMs
    for (;;) {
      const limitMs = this.#computeTimeLimitMs(operation, trace, history)
      const searchMs = Math.max(0, Math.min(searchSliceMs, limitMs - trace.tookMs))
      const attempt = await this.#caller.tryOnce(operation, { trace, searchMs, limits: {} })
      if (!(attempt instanceof NettlespurError)) return attempt.value
      history.record(attempt)
      const isOver =
        !attempt.answer.isTransient ||
        trace.isCallerGone ||
        trace.tookMs >= this.#computeTimeLimitMs(operation, trace, history)
      if (isOver) throw history.summarize(attempt)
      await this.#clock.sleep(backoffMs)
      backoffMs = Math.min(maxBackoffMs, backoffMs * backoffFactor)
    }
  }

  /**
   * How long the call may take. If it has certainly not run, the caller soon gets the refusal and its retry delay. If it
   * may have run, it is retried for as long as the caller waits and members answer: it is idempotent, and a definite
   * answer spares the caller an unknown outcome. If no member answers, the caller may have more luck at another entry.
   */
  #computeTimeLimitMs(
    operation: Operation<unknown>,
    { deadlineMs }: CallTrace,
    { mayHaveRun }: AttemptHistory,
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
