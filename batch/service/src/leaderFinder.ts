/**
 * Finds out which member leads, and keeps one connection to each member asked. However many calls wait, one search at a
 * time runs, with drawn pauses, and the calls wait for its word.
 */
import { setDeadline, waitFor, type Clock, type Timer } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { RpcClient } from '@nettlespur/rpc.peer'
import { setMaxListeners } from 'node:events'
import { BehaviorSubject } from 'rxjs'
import type { LeaderView } from './batchApi.js'
import type { LeaderBelief } from './callTrace.js'
import type { BatchRouter } from './createBatchRouter.js'
import { drawSearchPauseMs } from './drawSearchPauseMs.js'
import { LeaderOutage } from './leaderOutage.js'
import { LeaderSearch } from './leaderSearch.js'
import { MemberClients } from './memberClients.js'
import { RefutedClaims } from './refutedClaims.js'

/**
 * Once a majority has answered and none of it leads, the others are given this long: a suspended leader never answers,
 * and each search would take the whole 300 ms while the next one is being elected. One that is slow is taken late.
 */
const stragglerWaitMs = 50

export interface LeaderFinderOptions {
  clock: Clock
  logger: Logger
  peerKey: string
  /** Members to ask first. */
  seeds: readonly string[]
  /** Of one call to one member. */
  callTimeoutMs: number
  /** A number in [0, 1); Math.random by default. */
  random?: (() => number) | undefined
  /** As for any client of a peer. */
  compresses?: boolean | undefined
}

export class LeaderFinder {
  /** What is known of the time without a leader. */
  readonly outage: LeaderOutage
  readonly #opts: LeaderFinderOptions
  readonly #clients: MemberClients
  #seeds: readonly string[]
  #members: readonly string[] = []
  readonly #leader = new BehaviorSubject<string | undefined>(undefined)
  #leaderSinceMs = 0
  /** Of the belief, where a member named it with one. */
  #leaderTerm: number | undefined
  /** No other member's word brings these back; only the member's own does. */
  readonly #refuted = new RefutedClaims()
  readonly #closing = new AbortController()
  #waiters = 0
  #isSearching = false
  /** When each member last answered. */
  readonly #answeredAtMs = new Map<string, number>()
  #searchDone: Promise<void> | undefined
  /** The one that runs. */
  #currentSearch: LeaderSearch | undefined
  /** When the last look at the leader ended. */
  #lastCheckMs = -Infinity

  constructor(opts: LeaderFinderOptions) {
    this.#opts = opts
    this.#seeds = opts.seeds
    this.#clients = new MemberClients(opts)
    this.outage = new LeaderOutage(opts)
    setMaxListeners(0, this.#closing.signal)
  }

  /** Who is believed to lead. */
  get leaderAddress(): string | undefined {
    return this.#leader.value
  }

  replaceSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds
  }

  close(): void {
    this.#closing.abort()
    this.#clients.close()
  }

  /** `reason` is for the log. */
  setLeader(address: string | undefined, reason: string, term?: number): void {
    const before = this.leaderAddress
    if (before === address) return
    this.#leaderTerm = term
    this.#leaderSinceMs = this.#opts.clock.monotonicMs()
    if (address === undefined) this.outage.begin(before, reason)
    else this.outage.end(address, reason)
    this.#leader.next(address)
  }

  /** The member gave no answer, or one that denies that it leads and may name who does. */
  rejectLeader(address: string, namedAddress: string | undefined, reason: string): void {
    if (this.leaderAddress !== address || namedAddress === address) return
    this.#refuted.add(address, this.#leaderTerm)
    const isCredible = namedAddress !== undefined && !this.#refuted.hasAddress(namedAddress)
    this.setLeader(isCredible ? namedAddress : undefined, reason)
  }

  /** The leader as soon as one is found; undefined after `waitMs`, or once `unwanted` is aborted. */
  async awaitLeader(waitMs: number, unwanted?: AbortSignal): Promise<string | undefined> {
    const signal = AbortSignal.any([this.#closing.signal, ...(unwanted ? [unwanted] : [])])
    this.#waiters += 1
    void this.#searchWhileAwaited()
    const isFound = (address: string | undefined): boolean => address !== undefined
    await waitFor(this.#opts.clock, this.#leader, isFound, { timeoutMs: waitMs, signal })
    this.#waiters -= 1
    return this.leaderAddress
  }

  /** One task however many wait: searches until a leader is found or nobody waits any more. */
  async #searchWhileAwaited(): Promise<void> {
    if (this.#isSearching) return
    this.#isSearching = true
    const { signal } = this.#closing
    const { clock, random = Math.random } = this.#opts
    const isWanted = (): boolean =>
      this.#waiters > 0 && this.leaderAddress === undefined && !signal.aborted
    while (isWanted()) {
      await this.#joinSearch()
      const pauseMs = drawSearchPauseMs(this.outage.durationMs, random())
      if (isWanted()) await clock.sleep(pauseMs, signal)
    }
    this.#isSearching = false
  }

  /**
   * The member was called at `sinceMs` and nothing has come from it: who leads is asked anew, and until it answers by
   * itself no other's word counts for it. Its followers name a leader that is suspended for 700 ms more: in one such
   * outage six of eight processes believed them, and learned of the next leader 0.2 to 0.5 s after its election.
   */
  suspectLeader(address: string, sinceMs: number): void {
    const answeredAtMs = this.#answeredAtMs.get(address) ?? -Infinity
    if (answeredAtMs <= sinceMs) this.rejectLeader(address, undefined, `${address} has been silent`)
  }

  /** What is known of a member before it is called. */
  describeBelief(address: string): LeaderBelief {
    const nowMs = this.#opts.clock.monotonicMs()
    const answeredAtMs = this.#answeredAtMs.get(address) ?? this.#leaderSinceMs
    return { address, ageMs: nowMs - this.#leaderSinceMs, quietMs: nowMs - answeredAtMs }
  }

  /** The member answered, whatever it said. */
  recordAnswer(address: string): void {
    this.#answeredAtMs.set(address, this.#opts.clock.monotonicMs())
  }

  /** The member did what only a leader does; it may have been doubted meanwhile. */
  recordLeaderAnswer(address: string): void {
    this.recordAnswer(address)
    if (this.leaderAddress === undefined) this.setLeader(address, 'it answered as the leader')
  }

  /** Since any member answered, in milliseconds; undefined where none has yet. */
  get quietMs(): number | undefined {
    const answeredAtMs = Math.max(...this.#answeredAtMs.values())
    return answeredAtMs === -Infinity ? undefined : this.#opts.clock.monotonicMs() - answeredAtMs
  }

  /** Makes sure of a leader that has been quiet for `quietMs`. False where no member answers. */
  async refresh(quietMs: number): Promise<boolean> {
    const sinceMs = this.#lastCheckMs
    const isAnswered = await this.#checkLeader(quietMs)
    this.#lastCheckMs = this.#opts.clock.monotonicMs()
    // Answers that came after the look before had ended count too: a slow member is no silent one.
    return (
      isAnswered || [...this.#answeredAtMs.values()].some((answeredAtMs) => answeredAtMs > sinceMs)
    )
  }

  async #checkLeader(quietMs: number): Promise<boolean> {
    const address = this.leaderAddress
    if (address !== undefined) {
      if (this.describeBelief(address).quietMs < quietMs) return true
      const view = await this.#queryMember(address)
      if (view?.leaderAddress === address) return true
      const isDenied = view !== undefined && this.leaderAddress === address
      if (isDenied) this.setLeader(undefined, 'it does not say that it leads')
    }
    await this.#joinSearch()
    return false
  }

  /** Asks all members known; who comes meanwhile shares the search. */
  #joinSearch(): Promise<void> {
    this.#searchDone ??= this.#runSearch().finally(() => {
      this.#searchDone = undefined
    })
    return this.#searchDone
  }

  async #runSearch(): Promise<void> {
    const addresses = [...new Set([...this.#seeds, ...this.#members])]
    const search = new LeaderSearch(addresses)
    this.#currentSearch = search
    // A member that is down would cost 300 ms: a read on a silent connection 620 ms, not 320 (manual clock).
    let stragglers: Timer | undefined
    await new Promise<void>((resolve) => {
      const asked = addresses.map(async (address) => {
        const view = await this.#queryMember(address)
        if (view !== undefined) search.addView(address, view)
        if (search.isDecided) resolve()
        if (search.hasMajority)
          stragglers ??= setDeadline(this.#opts.clock, stragglerWaitMs, resolve)
      })
      void Promise.allSettled(asked).then(() => {
        resolve()
      })
    })
    stragglers?.cancel()
    this.#currentSearch = undefined
    this.outage.recordSearch(search.describe())
    // Nothing was learnt: who was believed to lead may be as slow as the others.
    if (search.isUnanswered) return
    const { memberAddresses } = search
    if (memberAddresses.length > 0) this.#members = memberAddresses
    const claim = search.findLeader((other) => this.#refuted.has(other))
    this.setLeader(claim?.address, search.describe(), claim?.term)
  }

  #queryMember(address: string): Promise<LeaderView | undefined> {
    return this.#clients.queryLeader(address, (view) => {
      this.recordAnswer(address)
      if (view.leaderAddress === address) this.#acceptSelfClaim(address, view)
    })
  }

  /** It may come after the search that asked for it: then it counts for the one that runs, or by itself. */
  #acceptSelfClaim(address: string, view: LeaderView): void {
    if (this.#currentSearch !== undefined) this.#currentSearch.addView(address, view)
    else if (this.leaderAddress === undefined)
      this.setLeader(address, 'it says late that it leads', view.term)
  }

  /** The connection to one member. */
  getClient(address: string): RpcClient<BatchRouter> {
    return this.#clients.get(address)
  }
}
