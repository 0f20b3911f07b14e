/**
 * What one member knows, shared by its tasks. Whatever writes to the store runs through `exclusive`, one
 * after the other, and looks again at what it relies on once it is its turn.
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
  /** When a leader was last heard; a start counts, since what was heard before it is forgotten. */
  heardLeaderMs: number
  /** When the present wait for an election began. */
  electionResetMs: number
  /** Why this member takes part no more. */
  fault: NettlespurError | undefined
  /** Since its start this member has heard a leader, or led. */
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

  /** Whether this member may be elected, on the disk it has. */
  get canBeElected(): boolean {
    const known = this.membership.members.find(({ memberId }) => memberId === this.memberId)
    const sameDisk = known?.diskId === undefined || known.diskId === this.diskId
    return this.fault === undefined && sameDisk && isVoter(this.membership, this.memberId)
  }

  /** A leader was heard within an election timeout. */
  get hasRecentLeader(): boolean {
    const { clock, timings } = this.opts
    return clock.monotonicMs() - this.heardLeaderMs < timings.electionTimeoutMs
  }

  /**
   * No leader has been heard since the start, and none can rest on what this member promised before it: reads are
   * confirmed by a quorum. Such members elect within a few heartbeats: after a loss of power of all five a leader stands
   * soon after the last of a majority has opened its log, in place of a whole election timeout later.
   */
  get canElectEarly(): boolean {
    return this.opts.leaseReads === false && !this.#hasKnownLeader
  }

  /** Whether it refuses its vote, since a leader may be alive. */
  get shouldRefuseVotes(): boolean {
    return this.role === 'leader' || (this.hasRecentLeader && !this.canElectEarly)
  }

  random(): number {
    return (this.opts.random ?? Math.random)()
  }

  /** Runs `task` alone. Errors: the fault, once a write has failed for good. */
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

  /** Within `exclusive`: takes a higher term, and with it gives its vote where one is named. */
  async adoptTerm(term: number, votedFor?: string): Promise<void> {
    this.becomeFollower(undefined)
    await this.#resolveUnwrittenEntries()
    await this.opts.store.saveHardState({ term, votedFor })
    this.becomeFollower(undefined)
  }

  /** An answer showed a higher term. */
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
   * What a former leadership sent out before it was written here. The followers may have committed it without
   * this disk: that part is written now, as new leaders take it for held here; the rest is forgotten.
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
