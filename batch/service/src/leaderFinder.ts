/**
 * Finds the leader, and keeps one connection to each member. One search runs at a time, with random pauses between
 * searches, and all waiting calls share its result.
 */
import { setDeadline, waitFor, type Timer } from '@nettlespur/core.clock'
import { maxOf } from '@nettlespur/core.lists'
import type { RpcClient } from '@nettlespur/rpc.peer'
import { setMaxListeners } from 'node:events'
import { BehaviorSubject } from 'rxjs'
import type { LeaderView } from './batchApi.js'
import type { LeaderBelief } from './callTrace.js'
import type { BatchRouter } from './createBatchRouter.js'
import { drawSearchPauseMs } from './drawSearchPauseMs.js'
import { LeaderOutage } from './leaderOutage.js'
import { LeaderSearch } from './leaderSearch.js'
import type { LeaderFinderOptions } from './leaderFinderOptions.js'
import { MemberClients } from './memberClients.js'
import { RefutedClaims } from './refutedClaims.js'

/**
 * How long a search waits for the remaining members once a majority has answered and no leader is among them. A suspended
 * leader never answers and would prolong each search to 300 ms during the next election. Late answers still count.
 */
const stragglerWaitMs = 50

export class LeaderFinder {
  /** The current time without a known leader. */
  readonly outage: LeaderOutage
  readonly #opts: LeaderFinderOptions
  readonly #clients: MemberClients
  #seeds: readonly string[]
  #members: readonly string[] = []
  readonly #leader = new BehaviorSubject<string | undefined>(undefined)
  #leaderSinceMs = 0
  /** The term in which a member named the leader; undefined if it was learned otherwise. */
  #leaderTerm: number | undefined
  /** Claims that only the member itself can renew; another member that repeats one is ignored. */
  readonly #refuted = new RefutedClaims()
  readonly #closing = new AbortController()
  #waiters = 0
  #isSearching = false
  /** When each member last answered. */
  readonly #answeredAtMs = new Map<string, number>()
  #searchDone: Promise<void> | undefined
  /** The search that is running. */
  #currentSearch: LeaderSearch | undefined
  /** When the last check by `refresh` ended. */
  #lastCheckMs = -Infinity

  constructor(opts: LeaderFinderOptions) {
    this.#opts = opts
    this.#seeds = opts.seeds
    this.#clients = new MemberClients(opts)
    this.outage = new LeaderOutage(opts)
    setMaxListeners(0, this.#closing.signal)
  }

  /** The presumed leader; undefined while none is known. */
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

  /** Sets or clears the presumed leader. `reason` is for the log. */
  setLeader(address: string | undefined, reason: string, term?: number): void {
    const before = this.leaderAddress
    if (before === address) return
    this.#leaderTerm = term
    this.#leaderSinceMs = this.#opts.clock.monotonicMs()
    if (address === undefined) this.outage.begin(before, reason)
    else this.outage.end(address, reason)
    this.#leader.next(address)
  }

  /**
   * Drops the presumed leader if it is this member, which failed to answer or said that it does not lead. The member that
   * it names takes its place, unless that one was refuted before.
   */
  rejectLeader(address: string, namedAddress: string | undefined, reason: string): void {
    if (this.leaderAddress !== address || namedAddress === address) return
    this.#refuted.add(address, this.#leaderTerm)
    const isCredible = namedAddress !== undefined && !this.#refuted.hasAddress(namedAddress)
    this.setLeader(isCredible ? namedAddress : undefined, reason)
  }

  /** Returns the leader once one is found; undefined after `waitMs`, or once `unwanted` is aborted. */
  async awaitLeader(waitMs: number, unwanted?: AbortSignal): Promise<string | undefined> {
    const signal = AbortSignal.any([this.#closing.signal, ...(unwanted ? [unwanted] : [])])
    this.#waiters += 1
    void this.#searchWhileAwaited()
    const isFound = (address: string | undefined): boolean => address !== undefined
    await waitFor(this.#opts.clock, this.#leader, isFound, { timeoutMs: waitMs, signal })
    this.#waiters -= 1
    return this.leaderAddress
  }

  /** Searches until a leader is found or no call waits any more. All waiting calls share one loop. */
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
   * Drops the presumed leader if it has not answered since `sinceMs`. Until it answers itself, other members that name it
   * are ignored: followers go on naming a suspended leader for an election timeout, and a client that believed them would
   * learn late of the next one.
   */
  suspectLeader(address: string, sinceMs: number): void {
    const answeredAtMs = this.#answeredAtMs.get(address) ?? -Infinity
    if (answeredAtMs <= sinceMs) this.rejectLeader(address, undefined, `${address} has been silent`)
  }

  /** Describes for the log what is known of the leader that is about to be called. */
  describeBelief(address: string): LeaderBelief {
    const nowMs = this.#opts.clock.monotonicMs()
    const answeredAtMs = this.#answeredAtMs.get(address) ?? this.#leaderSinceMs
    return { address, ageMs: nowMs - this.#leaderSinceMs, quietMs: nowMs - answeredAtMs }
  }

  /** Records that the member answered, whatever the answer. */
  recordAnswer(address: string): void {
    this.#answeredAtMs.set(address, this.#opts.clock.monotonicMs())
  }

  /** Records an answer that only a leader gives, and restores the leader if it was suspected meanwhile. */
  recordLeaderAnswer(address: string): void {
    this.recordAnswer(address)
    if (this.leaderAddress === undefined) this.setLeader(address, 'it answered as the leader')
  }

  /** Time since any member last answered, in milliseconds; undefined if none has yet. */
  get quietMs(): number | undefined {
    const answeredAtMs = maxOf(this.#answeredAtMs.values())
    return answeredAtMs === -Infinity ? undefined : this.#opts.clock.monotonicMs() - answeredAtMs
  }

  /** Checks a leader that has been quiet for `quietMs`, or searches for one. Returns false if no member answers. */
  async refresh(quietMs: number): Promise<boolean> {
    const sinceMs = this.#lastCheckMs
    const isAnswered = await this.#checkLeader(quietMs)
    this.#lastCheckMs = this.#opts.clock.monotonicMs()
    // Answers since the end of the previous check count too: a slow member is not a silent one.
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
      if (isDenied) this.setLeader(undefined, 'it does not claim to lead')
    }
    await this.#joinSearch()
    return false
  }

  /** Starts a search, or joins the one that is running. */
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
    // Ends the search early: otherwise one member that is down prolongs it by up to 300 ms, and a read on a silent
    // connection takes 620 ms instead of 320.
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
    // Without any answer the presumed leader is kept: it may only be as slow as the others.
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

  /** Accepts a member's claim to lead. If its search has ended, the claim counts for the running search, or by itself. */
  #acceptSelfClaim(address: string, view: LeaderView): void {
    if (this.#currentSearch !== undefined) this.#currentSearch.addView(address, view)
    else if (this.leaderAddress === undefined)
      this.setLeader(address, 'its claim to lead arrived after the search', view.term)
  }

  /** The RPC client for one member. */
  getClient(address: string): RpcClient<BatchRouter> {
    return this.#clients.get(address)
  }
}
