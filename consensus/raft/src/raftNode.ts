/**
 * One member of a Raft group. It runs a task for elections, one that applies entries and, while it leads, one per peer.
 * Requests of other members are passed to its `handle…` methods.
 */
import { NettlespurError, toNettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'
import type { Observable } from 'rxjs'
import { handleAppend } from './appendHandler.js'
import { ApplyLoop } from './applyLoop.js'
import { confirmLeadership } from './confirmLeadership.js'
import { describeNode, type NodeDescription } from './describeNode.js'
import { Election } from './election.js'
import { createNoQuorum, Leader } from './leader.js'
import { findMember, type Member } from './member.js'
import { MembershipManager } from './membershipManager.js'
import type {
  AppendAnswer,
  AppendRequest,
  InstallAnswer,
  InstallRequest,
  TimeoutNowRequest,
  VoteAnswer,
  VoteRequest,
} from './messages.js'
import { checkMember, prepareProposal } from './prepareProposal.js'
import { createUnknown, Proposals } from './proposals.js'
import type { RaftOptions } from './raftOptions.js'
import { Replica, type LeadershipState } from './replica.js'
import { SnapshotReceiver } from './snapshotReceiver.js'
import { transferLeadership } from './transferLeadership.js'
import { handleVoteRequest } from './voteHandler.js'

/** Election timeouts after the end of a leadership until its pending proposals are rejected as `outcome-unknown`. */
const unknownOutcomeTimeouts = 3
const scanBytes = 1_048_576

interface Leading<R> {
  readonly leader: Leader<R>
  readonly membershipManager: MembershipManager<R>
}

export class RaftNode<R> {
  readonly #replica: Replica<R>
  readonly #proposals = new Proposals<R>()
  readonly #applying: ApplyLoop<R>
  readonly #snapshots: SnapshotReceiver<R>
  readonly #election: Election<R>
  readonly #stopping = new AbortController()
  #tasks: Promise<unknown> = Promise.resolve()
  #leading: Leading<R> | undefined

  private constructor(opts: RaftOptions<R>) {
    this.#replica = new Replica(opts)
    this.#applying = new ApplyLoop(this.#replica, this.#proposals)
    this.#snapshots = new SnapshotReceiver(this.#replica, (index, data) => {
      this.#applying.restore(index, data)
    })
    this.#election = new Election(this.#replica, (disks) => {
      this.#lead(disks)
    })
  }

  /** Restores the state from the snapshot and starts. Errors: rejects as the store and the state machine do. */
  static async open<R>(opts: RaftOptions<R>): Promise<RaftNode<R>> {
    const node = new RaftNode(opts)
    await node.#restore()
    node.#start()
    return node
  }

  /** Emits the current value on subscription, then each change. */
  get leadership(): Observable<LeadershipState> {
    return this.#replica.leadership
  }

  /**
   * The leader as far as this member knows; cheaper than `describe`. Undefined if the leader has been silent for an
   * election timeout: while no majority can elect another, its followers would otherwise name it indefinitely.
   */
  get leader(): Member | undefined {
    const { leadership, membership, role, hasRecentLeader } = this.#replica
    const { leaderId } = leadership.value
    if (role !== 'leader' && !hasRecentLeader) return undefined
    return leaderId === undefined ? undefined : findMember(membership, leaderId)
  }

  /**
   * Whether this instance is in the committed membership, or in the latest one while a leader is heard. An uncommitted
   * entry that adds this instance does not suffice: it may exist only in its own log, and an instance that trusted it
   * would never be added.
   */
  get isMember(): boolean {
    const { memberships, membership, commitIndex, memberId, hasRecentLeader } = this.#replica
    const committed = memberships.at(commitIndex.value)
    if (findMember(membership, memberId) === undefined) return false
    return findMember(committed, memberId) !== undefined || hasRecentLeader
  }

  /** The error that keeps this member from taking part until a restart; undefined while it takes part. */
  get fault(): NettlespurError | undefined {
    return this.#replica.fault
  }

  /** Emits the index of the newest applied entry on subscription, then each change. */
  get applied(): Observable<number> {
    return this.#replica.appliedIndex
  }

  /**
   * Resolves once the command is committed and applied on this member. Errors: `not-leader` and `no-quorum` if the
   * command certainly never takes effect, `invalid-field` if the state machine could not read it, `body-too-large`,
   * `disk-full` if this is the only member, `outcome-unknown`.
   */
  propose(command: Buffer): EitherAsync<NettlespurError, R> {
    return tryAsync(() => {
      const { leader } = this.#requireLeading()
      if (leader.isTransferring) throw createNotLeader('the leadership is being handed over')
      if (this.#proposals.size >= this.#replica.limits.waitingProposals) {
        throw createNoQuorum('too many changes wait for their commit')
      }
      const { payload, prepared } = prepareProposal(this.#replica, command)
      return this.#proposals.wait(leader.push(payload), prepared)
    })
  }

  /** Resolves once every entry committed before the call is applied here. Errors: `not-leader`, `no-quorum`. */
  readBarrier(): EitherAsync<NettlespurError, void> {
    return tryAsync(async () => confirmLeadership(this.#requireLeading().leader))
  }

  /** Errors: `membership-refused`, `invalid-field`, `unknown-field`, `outcome-unknown`, `not-leader`. */
  addMember(member: Member): EitherAsync<NettlespurError, void> {
    return tryAsync(async () => {
      const { membershipManager } = this.#requireLeading()
      checkMember(member)
      await membershipManager.add(member)
    })
  }

  /** Errors: as `addMember`, and `unknown-member`. */
  removeMember(memberId: string): EitherAsync<NettlespurError, void> {
    return tryAsync(async () => this.#requireLeading().membershipManager.remove(memberId))
  }

  /** Hands the leadership to another voter. Returns true if this instance led and no longer does. */
  async transferLeadership(): Promise<boolean> {
    const leading = this.#leading
    return leading === undefined ? false : transferLeadership(leading.leader)
  }

  describe(): NodeDescription {
    return describeNode(this.#replica, this.#leading?.leader)
  }

  handleVote(request: VoteRequest): Promise<VoteAnswer> {
    return handleVoteRequest(this.#replica, request)
  }

  handleAppend(request: AppendRequest): Promise<AppendAnswer> {
    return handleAppend(this.#replica, request)
  }

  handleInstall(request: InstallRequest): Promise<InstallAnswer> {
    return this.#snapshots.handle(request)
  }

  handleTimeoutNow({ term }: TimeoutNowRequest): Promise<void> {
    void this.#election.campaignNow(term, this.#stopping.signal)
    return Promise.resolve()
  }

  /** Ends all tasks and rejects pending proposals with `outcome-unknown`. The caller closes the store. */
  async stop(): Promise<void> {
    this.#stopping.abort()
    this.#replica.becomeFollower(undefined)
    this.#proposals.close(createUnknown('this instance is stopping'))
    await this.#tasks
    await this.#replica.exclusive(() => Promise.resolve()).catch(() => undefined)
  }

  async #restore(): Promise<void> {
    const { opts, log, memberships } = this.#replica
    const snapshot = await opts.store.readSnapshot()
    if (snapshot !== undefined) this.#applying.restore(snapshot.meta.index, snapshot.data)
    let index = Math.max(opts.store.firstIndex, opts.store.snapshotMeta.index + 1)
    while (index <= log.lastIndex) {
      const entries = await log.read(index, scanBytes)
      for (const entry of entries) memberships.recordEntry(entry)
      index += Math.max(1, entries.length)
    }
  }

  #start(): void {
    const { signal } = this.#stopping
    this.#replica.leadership.subscribe((leadership) => {
      this.#follow(leadership)
    })
    this.#tasks = Promise.all([
      this.#election.run(signal),
      this.#applying.run(signal).catch((thrown: unknown) => {
        const fault = toNettlespurError(thrown)
        this.#replica.fault = fault
        this.#replica.opts.logger.error({ event: 'raft.apply-failed', reason: String(thrown) })
        this.#replica.opts.onFault?.(fault)
        this.#replica.becomeFollower(undefined)
      }),
    ])
  }

  #lead(disks: ReadonlyMap<string, string>): void {
    const leader = new Leader(this.#replica, this.#proposals, disks)
    const membershipManager = new MembershipManager(leader)
    this.#leading = { leader, membershipManager }
    this.#replica.setRole('leader', this.#replica.memberId)
    void membershipManager.run()
  }

  #follow({ role, term, leaderId }: LeadershipState): void {
    const { opts, memberId, clock } = this.#replica
    opts.logger.info({ event: 'raft.standing', memberId, role, term, leaderId })
    const leading = this.#leading
    if (leading === undefined || role === 'leader') return
    this.#leading = undefined
    leading.leader.end()
    const patienceMs = opts.timings.electionTimeoutMs * unknownOutcomeTimeouts
    void clock.sleep(patienceMs, this.#stopping.signal).then(() => {
      this.#proposals.rejectBeforeTerm(leading.leader.term + 1, createUnknown('the leader changed'))
    })
  }

  #requireLeading(): Leading<R> {
    if (this.#leading !== undefined) return this.#leading
    throw this.#replica.fault ?? createNotLeader(`${this.#replica.memberId} does not lead`)
  }
}

function createNotLeader(reason: string): NettlespurError {
  return new NettlespurError('not-leader', reason, { retryAfterMs: 250 })
}
