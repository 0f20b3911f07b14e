/**
 * Changes the membership, one change at a time. A change of voters goes through joint consensus, which needs a majority
 * of both the old and the new voters; if the leader changes meanwhile, the next leader completes it.
 */
import { waitFor } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import type { Leader } from './leader.js'
import { findMember, type Member, type Membership } from './member.js'
import { pickMembershipChange, type MemberFacts } from './pickMembershipChange.js'
import { hasQuorum } from './quorum.js'

const readyLagEntries = 64
const readySilenceTimeouts = 1

export class MembershipManager<R> {
  readonly #leader: Leader<R>

  constructor(leader: Leader<R>) {
    this.#leader = leader
  }

  /** Runs until the leadership ends: completes joint changes and starts automatic ones. */
  async run(): Promise<void> {
    const { replica, ended } = this.#leader
    const { heartbeatMs } = replica.opts.timings
    const isOver = (): boolean => ended.aborted
    while (!isOver()) {
      await replica.clock.sleep(heartbeatMs, ended)
      if (!isOver() && this.#tryCompleteChange()) this.#startAutomaticChange()
    }
  }

  /** Adds a learner. Resolves once that is committed. Errors: rejects with `membership-refused`, `outcome-unknown`. */
  async add(member: Member): Promise<void> {
    const { membership } = this.#leader.replica
    const known = findMember(membership, member.memberId)
    if (known !== undefined) {
      if (known.peerAddress === member.peerAddress && known.dataCentre === member.dataCentre) return
      throw refuseChange(`${member.memberId} is a member already, under ${known.peerAddress}`)
    }
    if (membership.members.some(({ peerAddress }) => peerAddress === member.peerAddress)) {
      throw refuseChange(`a member has the address ${member.peerAddress} already`)
    }
    const members = [...membership.members, member]
    await this.#change({ ...membership, members }, `${member.memberId} was added`)
  }

  /**
   * Removes a member and, if it was a voter, promotes a ready learner if there is one. Errors: as `add`,
   * `unknown-member`.
   */
  async remove(memberId: string): Promise<void> {
    const { membership } = this.#leader.replica
    if (findMember(membership, memberId) === undefined) {
      throw new NettlespurError('unknown-member', `no member ${memberId}`)
    }
    const members = membership.members.filter((member) => member.memberId !== memberId)
    const voters = membership.voters.filter((voter) => voter !== memberId)
    if (voters.length === 0) throw refuseChange('the last voter cannot be removed')
    const standby = members.find(
      (member) => !voters.includes(member.memberId) && this.#getFacts(member.memberId).ready,
    )
    const replaces = standby !== undefined && voters.length < membership.voters.length
    const next = { members, voters: replaces ? [...voters, standby.memberId] : voters }
    await this.#change(next, `${memberId} was removed`)
  }

  async #change(next: Membership, reason: string): Promise<void> {
    if (!this.#tryCompleteChange()) throw refuseChange('another change is under way', 500)
    if (!this.#hasReadyQuorum(next)) {
      throw refuseChange('too few of the resulting voters are ready to form a quorum', 500)
    }
    this.#start(next, reason)
    const { replica, ended: signal } = this.#leader
    const timeoutMs = replica.opts.timings.electionTimeoutMs * 2
    const isDone = (): boolean => this.#tryCompleteChange()
    const done = await waitFor(replica.clock, replica.commitIndex, isDone, { timeoutMs, signal })
    if (!done) throw new NettlespurError('outcome-unknown', 'the change is not committed yet')
  }

  /**
   * Ends joint consensus if the joint membership is committed. Returns true if no change is in progress: the latest
   * membership and this leadership's first entry are committed, and the membership is not joint.
   */
  #tryCompleteChange(): boolean {
    const { memberships, commitIndex } = this.#leader.replica
    const committed =
      commitIndex.value >= Math.max(memberships.latestIndex, this.#leader.firstIndex)
    if (committed && memberships.latest.outgoing !== undefined) this.#finish()
    return committed && memberships.latest.outgoing === undefined
  }

  #start(next: Membership, reason: string): void {
    const { membership } = this.#leader.replica
    const same =
      next.voters.length === membership.voters.length &&
      next.voters.every((voter) => membership.voters.includes(voter))
    if (same) {
      this.#leader.pushMembership(next, reason)
      return
    }
    const kept = new Set(next.members.map(({ memberId }) => memberId))
    const removed = membership.members.filter(({ memberId }) => !kept.has(memberId))
    const joint = {
      members: [...next.members, ...removed],
      voters: next.voters,
      outgoing: membership.voters,
      removing: removed.map(({ memberId }) => memberId),
    }
    this.#leader.pushMembership(joint, reason)
  }

  #finish(): void {
    const { members, voters, removing = [] } = this.#leader.replica.membership
    const left = members.filter(({ memberId }) => !removing.includes(memberId))
    this.#leader.pushMembership({ members: left, voters }, 'the change of voters is done')
  }

  #startAutomaticChange(): void {
    const { replica } = this.#leader
    if (!replica.membership.voters.includes(replica.memberId)) {
      replica.becomeFollower(undefined)
      return
    }
    const next = pickMembershipChange({
      membership: replica.membership,
      leaderId: replica.memberId,
      getFacts: (memberId) => this.#getFacts(memberId),
      replaceVoterAfterMs: replica.opts.timings.replaceVoterAfterMs,
    })
    if (next !== undefined && this.#hasReadyQuorum(next.membership)) {
      this.#start(next.membership, next.reason)
    }
  }

  /** Whether ready members form a quorum of `next`. A change that cannot be committed would block every later one. */
  #hasReadyQuorum(next: Membership): boolean {
    const { memberId: ownId } = this.#leader.replica
    return hasQuorum(next, (memberId) => memberId === ownId || this.#getFacts(memberId).ready)
  }

  #getFacts(memberId: string): MemberFacts {
    const { replica } = this.#leader
    const { commitIndex, clock, opts } = replica
    const progress = this.#leader.getProgress(memberId)
    if (progress === undefined) return { diskId: undefined, ready: false, silentMs: 0 }
    const silentMs = clock.monotonicMs() - progress.lastAnswerMs
    const caughtUp = progress.matchIndex + readyLagEntries >= commitIndex.value
    const answers = silentMs < opts.timings.electionTimeoutMs * readySilenceTimeouts
    const ready =
      progress.matchIndex > 0 && caughtUp && answers && this.#leader.hasMatchingDisk(memberId)
    return { diskId: progress.diskId, ready, silentMs }
  }
}

function refuseChange(reason: string, retryAfterMs?: number): NettlespurError {
  return new NettlespurError('membership-refused', reason, { retryAfterMs })
}
