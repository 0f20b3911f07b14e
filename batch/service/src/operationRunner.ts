/** Sends one call to whoever leads until it has an answer or its time is up, and tells the log of it. */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, tryAsync, unwrap } from '@nettlespur/core.errors'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { callPeer } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import type { CallLog } from './callLog.js'
import { CallTrace } from './callTrace.js'
import type { CallerWait } from './callerWait.js'
import type { LeaderFinder, LeaderFinderOptions } from './leaderFinder.js'
import type { Operation } from './operation.js'

/** Between rounds of asking while nobody leads. */
const locatePauseMs = 100
/** Before each further try: an instance just elected names itself, and only a pause lets it get ready. */
const retryPauseMs = 20
/** Kinds that say that the call has not run and another member may take it. */
const elsewhere = new Set(['not-leader', 'unreachable', 'no-quorum', 'draining', 'disk-full'])
/** Kinds after which the call may have run; sending it again changes nothing. */
const unsure = new Set(['outcome-unknown', 'storage-failed', 'internal'])

export interface OperationRunnerOptions extends LeaderFinderOptions {
  metrics: MetricsRegistry
  /** Of the whole call. */
  patienceMs: number
  /** Set where this process is a member itself. */
  local?: { readonly address: string; readonly api: BatchApi } | undefined
  finder: LeaderFinder
  log: CallLog
}

type Attempt<T> = { readonly value: T } | NettlespurError

export class OperationRunner {
  readonly #opts: OperationRunnerOptions
  readonly #clock: Clock
  readonly #finder: LeaderFinder

  constructor(opts: OperationRunnerOptions) {
    this.#opts = opts
    this.#clock = opts.clock
    this.#finder = opts.finder
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
    this.#opts.log.note(operation, trace, this.#finder.leaderAddress, error)
  }

  async #runUntilAnswered<T>(operation: Operation<T>, trace: CallTrace): Promise<T> {
    const { patienceMs } = this.#opts
    let mayHaveRun = false
    for (;;) {
      const attempt = await this.#tryOnce(operation, trace)
      if (!(attempt instanceof NettlespurError)) return attempt.value
      mayHaveRun ||= unsure.has(attempt.kind)
      if (!elsewhere.has(attempt.kind) && !unsure.has(attempt.kind)) throw attempt
      if (trace.tookMs >= patienceMs) throw toFinalError(attempt, mayHaveRun)
      await this.#clock.sleep(retryPauseMs)
    }
  }

  /** One call to whoever is believed to lead, or one search for who does. */
  async #tryOnce<T>(operation: Operation<T>, trace: CallTrace): Promise<Attempt<T>> {
    const address = this.#finder.leaderAddress ?? (await trace.search(() => this.#finder.locate()))
    if (address !== undefined) return this.#callMember(operation, address, trace)
    const leftMs = this.#opts.patienceMs - trace.tookMs
    await this.#clock.sleep(Math.max(0, Math.min(locatePauseMs, leftMs)))
    return new NettlespurError('not-leader', 'no member leads', { retryAfterMs: 500 })
  }

  async #callMember<T>(
    operation: Operation<T>,
    address: string,
    trace: CallTrace,
  ): Promise<Attempt<T>> {
    const belief = this.#finder.describeBelief(address)
    const startMs = this.#clock.monotonicMs()
    const note = (outcome: string): void => {
      trace.noteAttempt(belief, outcome, this.#clock.monotonicMs() - startMs)
    }
    try {
      const value = await unwrap(this.#call(operation, address))
      this.#finder.hear(address)
      note('done')
      return { value }
    } catch (thrown) {
      const error = toNettlespurError(thrown)
      note(error.kind)
      this.#leave(address, error)
      return error
    }
  }

  #call<T>(operation: Operation<T>, address: string): EitherAsync<NettlespurError, T> {
    const { local } = this.#opts
    if (local?.address === address) return operation.local(local.api)
    return callPeer(() => operation.remote(this.#finder.client(address).call.batch))
  }

  /** Any other refusal is the leader's own answer. */
  #leave(address: string, error: NettlespurError): void {
    if (!elsewhere.has(error.kind) && !unsure.has(error.kind)) return
    if (this.#finder.leaderAddress !== address) return
    this.#finder.believe(error.kind === 'not-leader' ? error.hint : undefined, error.message)
  }
}

/** What is told once the time of a call is up. */
function toFinalError(last: NettlespurError, mayHaveRun: boolean): NettlespurError {
  if (!mayHaveRun) return last
  return new NettlespurError('outcome-unknown', last.message, { cause: last })
}
