/**
 * The leadership of one term. Runs a replication task per peer, a task that syncs the leader's own log in parallel, and
 * a task that steps down once no quorum has answered for an election timeout.
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
  /** Emits after each answer of a peer; completes when this leadership ends. */
  readonly answers = new Subject<void>()
  /** Index of this leadership's first entry. The commit index is known to be current once it has reached this one. */
  readonly firstIndex: number
  /** True during a leadership transfer: new proposals are rejected. */
  isTransferring = false
  /** False for the rest of this leadership once another member was asked to start an election. */
  canHoldLease = true
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

  /** Emits the same values as `values`, and completes when this leadership ends. */
  whileLeading<T>(values: Observable<T>): Observable<T> {
    return values.pipe(takeUntil(this.#over))
  }

  /** Appends an entry; it is replicated to the peers and written to the leader's own disk in parallel. */
  push(payload: Buffer) {
    const { log, memberships } = this.replica
    const entry = log.push(this.term, payload)
    memberships.recordEntry(entry)
    this.#matchPeersToMembers()
    this.#flushWake.notify()
    for (const peer of this.#peers.values()) peer.wake()
    return entry
  }

  /** Appends `membership` to the Raft log and returns its index; `reason` is only written to the log line. */
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

  /**
   * Whether the peer last answered from the disk that the membership records for it, or the membership records none.
   * Otherwise its answers do not count towards a quorum.
   */
  hasMatchingDisk(memberId: string): boolean {
    const diskId = this.getProgress(memberId)?.diskId
    return diskId !== undefined && acceptsDisk(this.replica.membership, memberId, diskId)
  }

  /** Returns the highest value that a quorum has reached; `own` is the value of the leader itself. */
  pickQuorum(own: number, valueOf: (progress: PeerProgress) => number): number {
    return pickQuorumValue(this.replica.membership, (memberId) => {
      if (memberId === this.replica.memberId) return own
      const progress = this.getProgress(memberId)
      return progress !== undefined && this.hasMatchingDisk(memberId)
        ? valueOf(progress)
        : -Infinity
    })
  }

  /** Returns the sequence number of a new request; an answer to it proves that this member led when it was sent. */
  allocateSequence(): number {
    this.#sequence++
    return this.#sequence
  }

  /** Makes each peer's task send a request without waiting for the next heartbeat. */
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

  /** Only entries of the current term are committed by counting replicas; earlier entries are committed with them. */
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
      // With peers, the proposals stay pending: entries that were sent to them may still be committed.
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
      // Two checks in a row are needed: after a pause of the process, timers run before the answers that came in the
      // meantime are read.
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
