/** Finds out which member leads, and keeps one connection to each member asked. */
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import { createRpcClient, limitCall, type RpcClient } from '@nettlespur/rpc.peer'
import type { LeaderView } from './batchApi.js'
import type { Belief } from './callTrace.js'
import type { BatchRouter } from './createBatchRouter.js'
import { LeaderSearch } from './leaderSearch.js'

/** A member answers who leads from memory; over links of 1 ms this leaves room for a lost packet. */
const locateTimeoutMs = 300

export interface LeaderFinderOptions {
  clock: Clock
  logger: Logger
  peerKey: string
  /** Members to ask first. */
  seeds: readonly string[]
  /** Of one call to one member. */
  callTimeoutMs: number
  /** As for any client of a peer. */
  compresses?: boolean | undefined
}

export class LeaderFinder {
  readonly #opts: LeaderFinderOptions
  readonly #clients = new Map<string, RpcClient<BatchRouter>>()
  #seeds: readonly string[]
  #members: readonly string[] = []
  #leaderAddress: string | undefined
  #believedMs = 0
  /** When each member last answered. */
  readonly #heardMs = new Map<string, number>()
  #locating: Promise<void> | undefined
  /** When the last look at the leader ended. */
  #lookedMs = -Infinity

  constructor(opts: LeaderFinderOptions) {
    this.#opts = opts
    this.#seeds = opts.seeds
  }

  /** Who is believed to lead. */
  get leaderAddress(): string | undefined {
    return this.#leaderAddress
  }

  replaceSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds
  }

  close(): void {
    for (const client of this.#clients.values()) client.close()
  }

  /** `reason` is for the log. */
  believe(address: string | undefined, reason: string): void {
    if (this.#leaderAddress === address) return
    this.#leaderAddress = address
    this.#believedMs = this.#opts.clock.monotonicMs()
    this.#opts.logger.info({ event: 'leader.believed', leaderAddress: address, reason })
  }

  /** The member was called at `sinceMs` and nothing has come from it: who leads is asked anew. */
  doubt(address: string, sinceMs: number): void {
    const heardMs = this.#heardMs.get(address) ?? -Infinity
    if (this.#leaderAddress !== address || heardMs > sinceMs) return
    this.believe(undefined, `${address} has been silent`)
  }

  /** What is known of a member before it is called. */
  describeBelief(address: string): Belief {
    const nowMs = this.#opts.clock.monotonicMs()
    const heardMs = this.#heardMs.get(address) ?? this.#believedMs
    return { address, ageMs: nowMs - this.#believedMs, quietMs: nowMs - heardMs }
  }

  /** The member answered, whatever it said. */
  hear(address: string): void {
    this.#heardMs.set(address, this.#opts.clock.monotonicMs())
  }

  /** The member did what only a leader does; it may have been doubted meanwhile. */
  hearLeader(address: string): void {
    this.hear(address)
    if (this.#leaderAddress === undefined) this.believe(address, 'it answered as the leader')
  }

  /** Since any member answered, in milliseconds; undefined where none has yet. */
  get quietMs(): number | undefined {
    const heardMs = Math.max(...this.#heardMs.values())
    return heardMs === -Infinity ? undefined : this.#opts.clock.monotonicMs() - heardMs
  }

  /** Makes sure of a leader that has been quiet for `quietMs`. False where no member answers. */
  async refresh(quietMs: number): Promise<boolean> {
    const sinceMs = this.#lookedMs
    const isAnswered = await this.#look(quietMs)
    this.#lookedMs = this.#opts.clock.monotonicMs()
    // Answers that came after the look before had ended count too: a slow member is no silent one.
    return isAnswered || [...this.#heardMs.values()].some((heardMs) => heardMs > sinceMs)
  }

  async #look(quietMs: number): Promise<boolean> {
    const address = this.#leaderAddress
    if (address !== undefined) {
      if (this.describeBelief(address).quietMs < quietMs) return true
      const view = await this.#askMember(address)
      if (view?.leaderAddress === address) return true
      const isDenied = view !== undefined && this.#leaderAddress === address
      if (isDenied) this.believe(undefined, 'it does not say that it leads')
    }
    await this.locate()
    return false
  }

  /** Asks all members known; callers that come meanwhile share the answer. */
  async locate(): Promise<string | undefined> {
    this.#locating ??= this.#askMembers().finally(() => {
      this.#locating = undefined
    })
    await this.#locating
    return this.#leaderAddress
  }

  async #askMembers(): Promise<void> {
    const addresses = [...new Set([...this.#seeds, ...this.#members])]
    const search = new LeaderSearch(addresses)
    // A member that is down would cost 300 ms: a read on a silent connection 620 ms, not 320 (manual clock).
    await new Promise<void>((resolve) => {
      const asked = addresses.map(async (address) => {
        const view = await this.#askMember(address)
        if (view !== undefined) search.note(address, view)
        if (search.isDecided) resolve()
      })
      void Promise.allSettled(asked).then(() => {
        resolve()
      })
    })
    // Nothing was learnt: who was believed to lead may be as slow as the others.
    if (search.isUnanswered) return
    const { memberAddresses, leaderAddress } = search
    if (memberAddresses.length > 0) this.#members = memberAddresses
    this.believe(leaderAddress, search.describe())
  }

  /** A member that says nothing may be up behind a connection gone silent: the next search opens another. */
  async #askMember(address: string): Promise<LeaderView | undefined> {
    const { clock } = this.#opts
    const answered = new AbortController()
    const late = clock.sleep(locateTimeoutMs, answered.signal).then(() => undefined)
    const asked = this.client(address)
      .call.batch.locateLeader.mutate(undefined, limitCall({ silentAfterMs: locateTimeoutMs }))
      .then((view) => {
        this.hear(address)
        if (view.leaderAddress === address) this.#takeLate(address)
        return view
      })
      .catch((thrown: unknown) => {
        const reason = toNettlespurError(thrown).message
        this.#opts.logger.debug({ event: 'member.silent', address, reason })
        return undefined
      })
    const view = await Promise.race([asked, late])
    answered.abort()
    return view
  }

  /** The answer came after a search had ended without one; while one runs, newer terms are waited for. */
  #takeLate(address: string): void {
    if (this.#locating !== undefined || this.#leaderAddress !== undefined) return
    this.believe(address, 'it says late that it leads')
  }

  /** The connection to one member, made on first use. */
  client(address: string): RpcClient<BatchRouter> {
    const known = this.#clients.get(address)
    if (known !== undefined) return known
    const { callTimeoutMs: timeoutMs } = this.#opts
    const client = createRpcClient<BatchRouter>({ ...this.#opts, address, timeoutMs })
    this.#clients.set(address, client)
    return client
  }
}
