/** One try of a call: at the member believed to lead, or after a search for it. */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, unwrap } from '@nettlespur/core.errors'
import { callPeer, type CallLimits } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import type { BatchApi } from './batchApi.js'
import { isFinal, type AttemptResult } from './callOutcomes.js'
import type { CallTrace } from './callTrace.js'
import type { LeaderFinder } from './leaderFinder.js'
import type { Operation } from './operation.js'

export interface LeaderCallerOptions {
  clock: Clock
  finder: LeaderFinder
  /** Set where this process is a member itself. */
  local?: { readonly address: string; readonly api: BatchApi } | undefined
}

export interface AttemptOptions {
  readonly trace: CallTrace
  /** How long it may wait for a leader to be found. */
  readonly searchMs: number
  readonly limits: CallLimits
}

export class LeaderCaller {
  readonly #opts: LeaderCallerOptions

  constructor(opts: LeaderCallerOptions) {
    this.#opts = opts
  }

  /** Never rejects. */
  async tryOnce<T>(operation: Operation<T>, opts: AttemptOptions): Promise<AttemptResult<T>> {
    const { finder } = this.#opts
    const { trace, searchMs, limits } = opts
    const search = () => finder.awaitLeader(searchMs, limits.unwanted)
    const address = finder.leaderAddress ?? (await trace.trackSearch(search))
    if (address !== undefined) return this.#callMember(operation, address, opts)
    return finder.outage.createRefusal()
  }

  /** Whether a call would be sent to a member now. */
  get isLeaderKnown(): boolean {
    return this.#opts.finder.leaderAddress !== undefined
  }

  /** What a call that comes now is told at once; undefined where it may still be answered in time. */
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

  /** A member that says nothing for so long may lead no more: the next try asks who does. */
  #startSilenceTimer(address: string, { silentAfterMs }: CallLimits): Timer | undefined {
    if (silentAfterMs === undefined) return undefined
    const { clock, finder } = this.#opts
    const startMs = clock.monotonicMs()
    return setDeadline(clock, silentAfterMs, () => {
      finder.suspectLeader(address, startMs)
    })
  }

  /** Any other refusal is the leader's own answer. */
  #handleFailure(address: string, error: NettlespurError): void {
    const { finder } = this.#opts
    if (isFinal(error) || finder.leaderAddress !== address) return
    // Without an answer too: followers name a leader that was killed until they elect another.
    finder.rejectLeader(
      address,
      error.kind === 'not-leader' ? error.hint : undefined,
      error.message,
    )
  }
}
