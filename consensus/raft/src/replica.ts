/**
 * The Raft state of one member, shared by its tasks. Every write to the store runs through `exclusive`, one at a time,
 * and must check its preconditions again once it runs.
 */
import type { Clock } from '@nettlespur/core.clock'
import { toNettlespurError, type NettlespurError } from '@nettlespur/core.errors'
import { BehaviorSubject } from 'rxjs'
import { EntryLog } from './entryLog.js'
import { ExclusiveQueue } from './exclusiveQueue.js'
import { isVoter, type Membership } from './member.js'
import { MembershipHistory } from './membershipHistory.js'
import { defaultLimits, type RaftLimits, type RaftOptions } from './raftOptions.js'
import { snapshotMembershipSchema } from './snapshotMembership.js'

export type RaftRole = 'follower' | 'candidate' | 'leader'

/** Who leads, as this member sees it. */
export interface LeadershipState {
  readonly role: RaftRole
  readonly term: number
  readonly leaderId: string | undefined
}

export class Replica<R> {
  readonly opts: RaftOptions<R>
  readonly limits: RaftLimits
  readonly log: EntryLog
  readonly memberships: MembershipHistory
  readonly leadership: BehaviorSubject<LeadershipState>
  readonly commitIndex: BehaviorSubject<number>
  readonly appliedIndex: BehaviorSubject<number>
  /** When a leader was last heard. Starts at the start time, as it is unknown when one was heard before a restart. */
  heardLeaderMs: number
  /** When the current election timeout began. */
  electionResetMs: number
  /** The error that disabled this member until a restart; undefined while it takes part. */
  fault: NettlespurError | undefined
  /** Whether this member has heard a leader, or led, since its start. */
  #hasKnownLeader = false
  readonly #queue = new ExclusiveQueue()

  constructor(opts: RaftOptions<R>) {
    const { store, clock } = opts
    this.opts = opts
    this.limits = { ...defaultLimits, ...opts.limits }
    this.log = new EntryLog(store, this.limits.keepEntries)
    const { index, membership } = store.snapshotMeta
    this.memberships =
      index === 0
        ? new MembershipHistory(0, createFirstMembership(opts))
        : new MembershipHistory(index, snapshotMembershipSchema.parse(membership).membership)
    this.commitIndex = new BehaviorSubject(index)
    this.appliedIndex = new BehaviorSubject(index)
    this.leadership = new BehaviorSubject<LeadershipState>({
      role: 'follower',
      term: store.hardState.term,
      leaderId: undefined,
    })
    this.heardLeaderMs = clock.monotonicMs()
    this.electionResetMs = clock.monotonicMs()
  }

  get clock(): Clock {
    return this.opts.clock
  }

  get memberId(): string {
    return this.opts.memberId
  }

  get diskId(): string {
    return this.opts.store.diskId
  }

  get term(): number {
    return this.opts.store.hardState.term
  }

  get role(): RaftRole {
    return this.leadership.value.role
  }

  get membership(): Membership {
    return this.memberships.latest
  }

  /** Whether this member may become leader: it is a voter, on its recorded disk, without a fault. */
  get canBeElected(): boolean {
    const known = this.membership.members.find(({ memberId }) => memberId === this.memberId)
    const sameDisk = known?.diskId === undefined || known.diskId === this.diskId
    return this.fault === undefined && sameDisk && isVoter(this.membership, this.memberId)
  }

  /** Whether a leader was heard, or this member started, within the last election timeout. */
  get hasRecentLeader(): boolean {
    const { clock, timings } = this.opts
    return clock.monotonicMs() - this.heardLeaderMs < timings.electionTimeoutMs
  }

  /**
   * Whether this member may elect without waiting for an election timeout: it has heard no leader since its start, and
   * with `leaseReads` off no leader relies on a lease this member gave before its restart. After a power loss of all
   * five members, a leader is elected within a few heartbeats of the last member of a majority opening its log.
   */
  get canElectEarly(): boolean {
    return this.opts.leaseReads === false && !this.#hasKnownLeader
  }

  /** Whether this member refuses votes, except in a leadership transfer, because a leader may be alive. */
  get shouldRefuseVotes(): boolean {
    return this.role === 'leader' || (this.hasRecentLeader && !this.canElectEarly)
  }

  random(): number {
    return (this.opts.random ?? Math.random)()
  }

  /**
   * Runs `task` once all earlier tasks have ended. Any error of `task` counts as a failed write: unless it is
   * `disk-full`, it disables this member. Errors: rejects with the error of `task`, or with `fault` if that is set.
   */
  exclusive<T>(task: () => Promise<T>): Promise<T> {
    return this.#queue.run(async () => {
      if (this.fault !== undefined) throw this.fault
      try {
        if (this.role !== 'leader') await this.#resolveUnwrittenEntries()
        return await task()
      } catch (thrown) {
        this.#handleWriteFailure(toNettlespurError(thrown))
        throw thrown
      }
    })
  }

  /** Stores a higher term, with this member's vote if `votedFor` is given. Must run within `exclusive`. */
  async adoptTerm(term: number, votedFor?: string): Promise<void> {
    this.becomeFollower(undefined)
    await this.#resolveUnwrittenEntries()
    await this.opts.store.saveHardState({ term, votedFor })
    this.becomeFollower(undefined)
  }

  /** Adopts the term of an answer if it is higher; a leader steps down at once. */
  async noticeTerm(term: number): Promise<void> {
    if (term <= this.term) return
    if (this.role === 'leader') this.becomeFollower(undefined)
    await this.exclusive(async () => {
      if (term > this.term) await this.adoptTerm(term)
    })
  }

  becomeFollower(leaderId: string | undefined): void {
    if (this.role === 'leader') this.electionResetMs = this.clock.monotonicMs()
    this.setRole('follower', leaderId)
  }

  setRole(role: RaftRole, leaderId: string | undefined): void {
    const { leadership, term } = this
    const before = leadership.value
    if (role === 'leader') this.#hasKnownLeader = true
    if (before.role === role && before.term === term && before.leaderId === leaderId) return
    leadership.next({ role, term, leaderId })
  }

  recordLeaderContact(leaderId: string): void {
    this.#hasKnownLeader = true
    this.heardLeaderMs = this.clock.monotonicMs()
    this.electionResetMs = this.heardLeaderMs
    this.becomeFollower(leaderId)
  }

  advanceCommitIndex(index: number): void {
    if (index > this.commitIndex.value) this.commitIndex.next(index)
  }

  /**
   * Handles the entries that this member replicated as leader but has not written to its own disk. Followers may have
   * committed them without it: those up to the commit index are written now, as new leaders assume that this member
   * holds them; the others are dropped.
   */
  async #resolveUnwrittenEntries(): Promise<void> {
    const { log, limits, commitIndex } = this
    log.discardUnwritten(commitIndex.value)
    while (log.writtenIndex < log.lastIndex) await log.flush(limits.batchBytes)
    this.memberships.truncateFrom(log.writtenIndex + 1)
  }

  #handleWriteFailure(error: NettlespurError): void {
    this.log.reload()
    this.memberships.truncateFrom(this.log.writtenIndex + 1)
    this.opts.logger.error({ event: 'raft.write-failed', kind: error.kind, reason: error.message })
    if (error.kind !== 'disk-full') {
      this.fault = error
      this.opts.onFault?.(error)
    }
    if (this.role !== 'follower') this.becomeFollower(undefined)
  }
}

function createFirstMembership<R>({ initialMembers }: RaftOptions<R>): Membership {
  return {
    members: [...initialMembers],
    voters: initialMembers.map(({ memberId }) => memberId),
  }
}
