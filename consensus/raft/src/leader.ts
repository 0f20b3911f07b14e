/**
 * One leadership: a task per peer, one that syncs the leader's own log while the peers append, and one that
 * steps down once no majority has answered for an election timeout.
 */
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import { ReplaySubject, Subject, takeUntil, type Observable } from 'rxjs'
import { encodeEmpty, encodeMembership } from './entryPayload.js'
import { acceptsDisk, type Membership } from './member.js'
import type { PeerProgress } from './peerProgress.js'
import { PeerReplicator } from './peerReplicator.js'
import type { Proposals } from './proposals.js'
import { pickQuorumValue } from './quorum.js'
import { SlowReadLogger } from './slowReadLogger.js'
import type { Replica } from './replica.js'
import { Wake } from '@nettlespur/core.clock'

const idleMs = 60_000

export class Leader<R> {
  readonly term: number
  readonly replica: Replica<R>
  /** Told after each answer of a peer; completes when this leadership ends. */
  readonly answers = new Subject<void>()
  /** The first entry of this leadership: what is committed is known once this one is. */
  readonly firstIndex: number
  /** Set while another member is being made leader: nothing new is taken. */
  isTransferring = false
  /** Gone for good once another member was told to stand. */
  canHoldLease = true
  /** Told of reads whose confirmation was slow or refused. */
  readonly slowReadLogger: SlowReadLogger<R>
  readonly #proposals: Proposals<R>
  readonly #peers = new Map<string, PeerReplicator<R>>()
  readonly #flushWake = new Wake()
  readonly #ending = new AbortController()
  readonly #over = new ReplaySubject<void>(1)
  #sequence = 0

  constructor(replica: Replica<R>, proposals: Proposals<R>, disks: ReadonlyMap<string, string>) {
    this.replica = replica
    this.slowReadLogger = new SlowReadLogger(this)
    this.#proposals = proposals
    this.term = replica.term
    this.firstIndex = replica.log.lastIndex + 1
    this.#pushLearnedDisks(disks)
    this.push(encodeEmpty())
    void this.#flushAll()
    void this.#checkQuorum()
  }

  /** Aborted when this leadership ends. */
  get ended(): AbortSignal {
    return this.#ending.signal
  }

  end(): void {
    this.#ending.abort()
    for (const peer of this.#peers.values()) peer.stop()
    this.answers.complete()
    this.#over.next()
  }

  /** The same values until this leadership ends. */
  whileLeading<T>(values: Observable<T>): Observable<T> {
    return values.pipe(takeUntil(this.#over))
  }

  /** Adds an entry: it goes to the peers and to the own disk at the same time. */
  push(payload: Buffer) {
    const { log, memberships } = this.replica
    const entry = log.push(this.term, payload)
    memberships.recordEntry(entry)
    this.#matchPeersToMembers()
    this.#flushWake.notify()
    for (const peer of this.#peers.values()) peer.wake()
    return entry
  }

  /** The reason goes into the log. */
  pushMembership(membership: Membership, reason: string): number {
    const { index } = this.push(encodeMembership(membership))
    const { voters, outgoing } = membership
    const { logger } = this.replica.opts
    const joint = outgoing?.join()
    logger.info({ event: 'raft.membership', index, voters: voters.join(), joint, reason })
    return index
  }

  getProgress(memberId: string): PeerProgress | undefined {
    return this.#peers.get(memberId)?.progress
  }

  /** Whether the peer's answers count: they come from the disk the membership knows. */
  hasMatchingDisk(memberId: string): boolean {
    const diskId = this.getProgress(memberId)?.diskId
    return diskId !== undefined && acceptsDisk(this.replica.membership, memberId, diskId)
  }

  /** The highest value that a quorum has reached, where the leader itself stands at `own`. */
  pickQuorum(own: number, valueOf: (progress: PeerProgress) => number): number {
    return pickQuorumValue(this.replica.membership, (memberId) => {
      if (memberId === this.replica.memberId) return own
      const progress = this.getProgress(memberId)
      return progress !== undefined && this.hasMatchingDisk(memberId)
        ? valueOf(progress)
        : -Infinity
    })
  }

  /** Number of the next request; an answer to it proves that this leadership lasted until then. */
  allocateSequence(): number {
    this.#sequence++
    return this.#sequence
  }

  /** Sends to all peers at once. */
  wakePeers(): void {
    for (const peer of this.#peers.values()) peer.wake()
  }

  #pushLearnedDisks(disks: ReadonlyMap<string, string>): void {
    const { membership } = this.replica
    const members = membership.members.map((member) => {
      const diskId = member.diskId ?? disks.get(member.memberId)
      return diskId === undefined ? member : { ...member, diskId }
    })
    const learned = members.some(({ diskId }, at) => diskId !== membership.members[at]?.diskId)
    if (learned) this.pushMembership({ ...membership, members }, 'disks became known')
  }

  #matchPeersToMembers(): void {
    const { membership, memberId: ownId } = this.replica
    const wanted = new Set(membership.members.map(({ memberId }) => memberId))
    for (const [peerId, peer] of this.#peers) {
      if (wanted.has(peerId)) continue
      peer.stop()
      this.#peers.delete(peerId)
    }
    for (const peerId of wanted) {
      if (peerId !== ownId && !this.#peers.has(peerId)) this.#startPeer(peerId)
    }
  }

  #startPeer(peerId: string): void {
    const peer = new PeerReplicator({
      replica: this.replica,
      term: this.term,
      peerId,
      allocateSequence: () => this.allocateSequence(),
      onAnswer: () => {
        this.#advanceCommit()
        this.answers.next()
      },
    })
    this.#peers.set(peerId, peer)
    void peer.run()
  }

  /** Only an entry of the own term is committed by counting; earlier ones are with it. */
  #advanceCommit(): void {
    if (this.ended.aborted) return
    const { log } = this.replica
    const index = this.pickQuorum(log.writtenIndex, ({ matchIndex }) => matchIndex)
    if (log.termAt(index) === this.term) this.replica.advanceCommitIndex(index)
  }

  async #flushAll(): Promise<void> {
    const { log, clock } = this.replica
    while (!this.ended.aborted) {
      if (log.writtenIndex < log.lastIndex) await this.#flush()
      else await this.#flushWake.wait(clock, idleMs, this.ended)
    }
  }

  async #flush(): Promise<void> {
    const { log, limits } = this.replica
    try {
      await this.replica.exclusive(async () => {
        if (!this.ended.aborted) await log.flush(limits.batchBytes)
      })
    } catch (thrown) {
      // Entries that went to peers may still become committed.
      if (this.#peers.size === 0) {
        this.#proposals.rejectAfter(log.writtenIndex, toNettlespurError(thrown))
      }
    }
    this.#advanceCommit()
  }

  async #checkQuorum(): Promise<void> {
    const { clock, opts } = this.replica
    const { heartbeatMs, electionTimeoutMs } = opts.timings
    const isOver = (): boolean => this.ended.aborted
    let wasSilent = false
    while (!isOver()) {
      await clock.sleep(heartbeatMs, this.ended)
      const nowMs = clock.monotonicMs()
      const lastAnswerMs = this.pickQuorum(nowMs, (progress) => progress.lastAnswerMs)
      const isSilent = nowMs - lastAnswerMs > electionTimeoutMs
      // A process that stood still looks at its timers before it reads the answers that came meanwhile.
      const isLost = isSilent && wasSilent
      wasSilent = isSilent
      if (isOver() || !isLost) continue
      opts.logger.warn({ event: 'raft.quorum-lost', term: this.term })
      this.replica.becomeFollower(undefined)
    }
  }
}

export function createNoQuorum(reason: string): NettlespurError {
  return new NettlespurError('no-quorum', reason, { retryAfterMs: 500 })
}
