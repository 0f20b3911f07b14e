/** Makes one attempt of a call at the presumed leader, after a search if none is known. */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, unwrap } from '@nettlespur/core.errors'
import { callPeer, type CallLimits } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import type { AttemptResult } from './attemptResult.js'
import type { CallTrace } from './callTrace.js'
import type { LeaderFinder } from './leaderFinder.js'
import type { Operation } from './operation.js'

export interface LeaderCallerOptions {
  clock: Clock
  finder: LeaderFinder
  /** Set if this process is a member itself. */
  local?: { readonly address: string; readonly api: BatchApi } | undefined
}

export interface AttemptOptions {
  readonly trace: CallTrace
  /** How long the attempt may wait for a leader to be found. */
  readonly searchMs: number
  readonly limits: CallLimits
}

export class LeaderCaller {
  readonly #opts: LeaderCallerOptions

  constructor(opts: LeaderCallerOptions) {
    this.#opts = opts
  }

  /** Makes one attempt. Never rejects: errors are returned. */
  async tryOnce<T>(operation: Operation<T>, opts: AttemptOptions): Promise<AttemptResult<T>> {
    const { finder } = this.#opts
    const { trace, searchMs, limits } = opts
    const search = () => finder.awaitLeader(searchMs, limits.unwanted)
    const address = finder.leaderAddress ?? (await trace.trackSearch(search))
    if (address !== undefined) return this.#callMember(operation, address, opts)
    return finder.outage.createRefusal()
  }

  /** Whether a call would be sent to a member at once, without a search. */
  get isLeaderKnown(): boolean {
    return this.#opts.finder.leaderAddress !== undefined
  }

  /** The refusal for a call that arrives in a long outage; undefined if the call may still be answered in time. */
  createEarlyRefusal(): NettlespurError | undefined {
    const { outage } = this.#opts.finder
    if (this.isLeaderKnown || !outage.isLong) return undefined
    return outage.createRefusal()
  }

  async #callMember<T>(
    operation: Operation<T>,
    address: string,
    { trace, limits }: AttemptOptions,
  ): Promise<AttemptResult<T>> {
    const { finder } = this.#opts
    const endAttempt = trace.startAttempt(finder.describeBelief(address))
    const silence = this.#startSilenceTimer(address, limits)
    try {
      const value = await unwrap(this.#call(operation, address, limits))
      finder.recordLeaderAnswer(address)
      endAttempt('done')
      return { value }
    } catch (thrown) {
      const error = toNettlespurError(thrown)
      endAttempt(error.kind)
      if (limits.unwanted?.aborted !== true) this.#handleFailure(address, error)
      return error
    } finally {
      silence?.cancel()
    }
  }

  #call<T>(
    operation: Operation<T>,
    address: string,
    limits: CallLimits,
  ): EitherAsync<NettlespurError, T> {
    const { local, finder } = this.#opts
    if (local?.address === address) return operation.local(local.api)
    return callPeer(() => operation.remote(finder.getClient(address).call.batch, limits))
  }

  /** Suspects the member if it stays silent for `silentAfterMs`, so that the next attempt searches for the leader. */
  #startSilenceTimer(address: string, { silentAfterMs }: CallLimits): Timer | undefined {
    if (silentAfterMs === undefined) return undefined
    const { clock, finder } = this.#opts
    const startMs = clock.monotonicMs()
    return setDeadline(clock, silentAfterMs, () => {
      finder.suspectLeader(address, startMs)
    })
  }

  /** Drops the presumed leader, unless the error is the leader's own answer. */
  #handleFailure(address: string, error: NettlespurError): void {
    const { finder } = this.#opts
    if (!error.answer.isTransient || finder.leaderAddress !== address) return
    // A member that gave no answer is rejected too: followers name a killed leader until they elect another.
    finder.rejectLeader(
      address,
      error.kind === 'not-leader' ? error.hint : undefined,
      error.message,
    )
  }
}
