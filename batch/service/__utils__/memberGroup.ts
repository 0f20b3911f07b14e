/** Fake members on loopback behind links that can fail, and a client of the group, on one manual clock. */
import { ManualClock } from '@nettlespur/core.clock'
import { LeaderClient, type LeaderClientOptions } from '../src/index.js'
import { peerKey, startFakeMember, type FakeMember } from './fakeMember.js'
import { MemberLink } from './memberLink.js'
import { createRecorder } from './recorder.js'

/**
 * Turns of the event loop without a byte on any link after which no message is under way. Each turn includes a timer,
 * since calls are batched for one turn of Node's timers before they are sent.
 */
const idleTurns = 10

interface LinkedMember {
  readonly member: FakeMember
  readonly link: MemberLink
}

export class MemberGroup {
  readonly clock = new ManualClock()
  readonly recorder = createRecorder()
  readonly client: LeaderClient
  readonly #linked: readonly LinkedMember[]

  private constructor(linked: readonly LinkedMember[], timings: MemberGroupTimings) {
    this.#linked = linked
    this.client = new LeaderClient({
      ...timings,
      ...this.recorder,
      clock: this.clock,
      peerKey,
      seeds: linked.map(({ link }) => link.address),
      // Compression runs in other threads, so a message could be under way while the links are idle.
      compresses: false,
    })
  }

  static async start(memberCount: number, timings: MemberGroupTimings): Promise<MemberGroup> {
    const members = Array.from({ length: memberCount }, async () => {
      const member = await startFakeMember()
      return { member, link: await MemberLink.start(member.address) }
    })
    return new MemberGroup(await Promise.all(members), timings)
  }

  member(at: number): FakeMember {
    return this.#linkedMember(at).member
  }

  link(at: number): MemberLink {
    return this.#linkedMember(at).link
  }

  /** From now on the members in `namedBy` name this one as the leader. */
  nameLeader(at: number, term: number, namedBy: readonly number[]): void {
    const memberAddresses = this.#linked.map(({ link }) => link.address)
    for (const each of namedBy) {
      this.member(each).view = { leaderAddress: this.link(at).address, term, memberAddresses }
    }
  }

  /** Advances the clock whenever no message is under way, until the work has ended; returns how long that took. */
  async settle<T>(work: Promise<T>): Promise<{ readonly outcome: T; readonly tookMs: number }> {
    const startMs = this.clock.monotonicMs()
    const ends: number[] = []
    void work.then(() => ends.push(this.clock.monotonicMs()))
    const isOver = (): boolean => ends.length > 0
    while (!isOver()) {
      await this.#waitUntilIdle(isOver)
      const { nextDueMs } = this.clock
      if (isOver() || nextDueMs === undefined) continue
      await this.clock.advance(nextDueMs - this.clock.monotonicMs())
    }
    return { outcome: await work, tookMs: (ends[0] ?? startMs) - startMs }
  }

  async stop(): Promise<void> {
    this.client.close()
    for (const { member, link } of this.#linked) {
      await link.close()
      await member.stop()
    }
  }

  async #waitUntilIdle(isOver: () => boolean): Promise<void> {
    let chunksBefore = -1
    for (let turn = 0; turn < idleTurns && !isOver(); turn++) {
      const chunksNow = this.#linked.reduce((sum, { link }) => sum + link.chunksRead, 0)
      if (chunksNow !== chunksBefore) turn = 0
      chunksBefore = chunksNow
      await new Promise((resolve) => setTimeout(() => setImmediate(resolve), 1))
    }
  }

  #linkedMember(at: number): LinkedMember {
    const linked = this.#linked[at]
    if (linked === undefined) throw new Error(`no member ${at}`)
    return linked
  }
}

export type MemberGroupTimings = Pick<LeaderClientOptions, 'callTimeoutMs' | 'patienceMs'>
