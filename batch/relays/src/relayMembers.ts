/**
 * The members that serve upstreams for a leader. Relays are used from a number of upstreams on; below it nothing is sent
 * to them.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { Leadership } from './leadership.js'
import { MemberAssignment } from './memberAssignment.js'
import type { RelayLink } from './relayLink.js'
import { RelayMember } from './relayMember.js'

/** How often the members and the number of upstreams are checked. */
const checkEveryMs = 200
/** A message to a relay costs the leader as much as several calls, so with more relays each gets them less often. */
const batchMsMin = 10
const batchMsPerRelay = 5
/** With this many relays the leader makes no calls itself: what it decides for all upstreams takes its time as it is. */
const relaysWithoutLeaderMin = 2
/** Relaying ends only this far below the number from which it begins, so that it does not switch back and forth. */
const endShare = 0.9

export interface RelayMembersOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  link: RelayLink
  /** The peer address of this member. */
  ownAddress: string
  relayFromUpstreams: number
  leadership: Leadership
  signal: AbortSignal
}

interface WatchedMember {
  readonly member: RelayMember
  readonly leaving: AbortController
}

export class RelayMembers {
  readonly #opts: RelayMembersOptions
  readonly #watched = new Map<string, WatchedMember>()
  readonly #assignment = new MemberAssignment()
  /** Addresses of the members that may serve; all others that are watched only have calls in progress. */
  #wanted: ReadonlySet<string> = new Set()
  #isRelaying = false
  #callCount = 0

  constructor(opts: RelayMembersOptions) {
    this.#opts = opts
    opts.signal.addEventListener(
      'abort',
      () => {
        for (const { member, leaving } of this.#watched.values()) {
          leaving.abort()
          member.dropQueue()
        }
      },
      { once: true },
    )
    void this.#run()
  }

  /** Peer addresses of the members that serve upstreams; empty while no relays are used. */
  get servingAddresses(): readonly string[] {
    if (!this.#isRelaying) return []
    const others = [...this.#wanted].filter(
      (address) => this.#watched.get(address)?.member.isServing === true,
    )
    return others.length >= relaysWithoutLeaderMin ? others : [this.#opts.ownAddress, ...others]
  }

  /** Returns the relay that the upstream is assigned to; undefined if this member calls it itself. */
  assign(upstreamAddress: string): RelayMember | undefined {
    if (!this.#isRelaying || this.#opts.signal.aborted) return undefined
    const address = this.#assignment.find(upstreamAddress, this.servingAddresses)
    return address === undefined ? undefined : this.#watched.get(address)?.member
  }

  async #run(): Promise<void> {
    const { clock, signal } = this.#opts
    while (!signal.aborted) {
      this.#check()
      await clock.sleep(checkEveryMs, signal)
    }
  }

  #check(): void {
    this.#updateRelaying()
    const { leadership, ownAddress } = this.#opts
    const wanted = new Set(this.#isRelaying ? leadership.listMemberAddresses() : [])
    wanted.delete(ownAddress)
    this.#wanted = wanted
    for (const address of wanted) if (!this.#watched.has(address)) this.#watch(address)
    for (const [address, { member, leaving }] of this.#watched) {
      member.checkSilence()
      // Calls in progress still get their outcomes when relaying ends.
      if (wanted.has(address) || member.pendingCalls > 0) continue
      leaving.abort()
      this.#watched.delete(address)
    }
  }

  #updateRelaying(): void {
    const { leadership, relayFromUpstreams, logger } = this.#opts
    const upstreams = leadership.countUpstreams()
    const threshold = this.#isRelaying ? relayFromUpstreams * endShare : relayFromUpstreams
    const shouldRelay = upstreams >= threshold
    if (shouldRelay === this.#isRelaying) return
    this.#isRelaying = shouldRelay
    const event = shouldRelay ? 'relaying.began' : 'relaying.ended'
    logger.info({ event, term: leadership.term, upstreams, relayFromUpstreams })
  }

  #watch(address: string): void {
    const { leadership } = this.#opts
    const leaving = new AbortController()
    const member = new RelayMember({
      ...this.#opts,
      address,
      nextCallId: () => (this.#callCount += 1),
      getBatchMs: () => Math.max(batchMsMin, batchMsPerRelay * this.#wanted.size),
      createHeader: (relayId) => ({
        term: leadership.term,
        relayId,
        servingAddresses: [...this.servingAddresses],
      }),
    })
    this.#watched.set(address, { member, leaving })
    void member.run(leaving.signal)
  }
}
