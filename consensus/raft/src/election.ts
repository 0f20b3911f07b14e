/**
 * Starts an election when no leader has been heard for a randomised timeout. A pre-vote comes first, so that a member
 * that was only disconnected does not raise the term of the others.
 */
import { pollVoters } from './poll.js'
import type { Replica } from './replica.js'

/** Maximum random share of the election timeout added to it, so that few members become candidates at the same time. */
const spreadShare = 0.5

/** Starts leading the current term. `disks` holds the disk ID of each member that granted its vote, by member ID. */
export type StartLeading = (disks: ReadonlyMap<string, string>) => void

export class Election<R> {
  readonly #replica: Replica<R>
  readonly #startLeading: StartLeading

  constructor(replica: Replica<R>, startLeading: StartLeading) {
    this.#replica = replica
    this.#startLeading = startLeading
  }

  /** Runs until `signal` is aborted. A sole voter starts an election at once. */
  async run(signal: AbortSignal): Promise<void> {
    const isOver = (): boolean => signal.aborted
    if (this.#isAlone()) await this.#tryToLead(false, signal)
    while (!isOver()) {
      await this.#waitForSilence(this.#drawWaitMs(), signal)
      if (!isOver()) await this.#tryToLead(false, signal)
    }
  }

  /**
   * A member that may elect early waits for one to two heartbeats: a live leader would reach it within one, and the
   * members that hear such a leader refuse their votes anyway.
   */
  #drawWaitMs(): number {
    const { canElectEarly, opts } = this.#replica
    const { heartbeatMs, electionTimeoutMs } = opts.timings
    const random = this.#replica.random()
    if (canElectEarly) return heartbeatMs * (1 + random)
    return electionTimeoutMs * (1 + random * spreadShare)
  }

  /** Starts an election without a pre-vote, as the leader of `term` asked; does nothing if the term has changed. */
  async campaignNow(term: number, signal: AbortSignal): Promise<void> {
    if (term === this.#replica.term) await this.#tryToLead(true, signal)
  }

  /** Logs an error such as a failed write: it ends this attempt, not the task. */
  async #tryToLead(transfer: boolean, signal: AbortSignal): Promise<void> {
    const replica = this.#replica
    replica.electionResetMs = replica.clock.monotonicMs()
    if (!replica.canBeElected || replica.role === 'leader') return
    try {
      await this.#campaign(transfer, signal)
    } catch (cause) {
      replica.opts.logger.warn({ event: 'raft.election-failed', reason: String(cause) })
    }
  }

  #isAlone(): boolean {
    const { membership, memberId } = this.#replica
    return membership.voters.length === 1 && membership.voters[0] === memberId
  }

  async #waitForSilence(silenceMs: number, signal: AbortSignal): Promise<void> {
    const replica = this.#replica
    while (!signal.aborted) {
      const leads = replica.role === 'leader'
      const sinceMs = replica.clock.monotonicMs() - replica.electionResetMs
      if (!leads && sinceMs >= silenceMs) return
      await replica.clock.sleep(leads ? silenceMs : silenceMs - sinceMs, signal)
    }
  }

  async #campaign(transfer: boolean, signal: AbortSignal): Promise<void> {
    const replica = this.#replica
    const startMs = replica.clock.monotonicMs()
    const term = replica.term + 1
    if (!transfer) {
      const request = { ...this.#describe(), term, preVote: true, transfer }
      if ((await pollVoters(replica, request, signal)) === undefined) return
    }
    const stands = await replica.exclusive(() => this.#becomeCandidate(term, startMs, transfer))
    if (!stands) return
    const disks = await pollVoters(
      replica,
      { ...this.#describe(), term, preVote: false, transfer },
      signal,
    )
    if (disks === undefined) return
    await replica.exclusive(() => {
      if (replica.role === 'candidate' && replica.term === term && !signal.aborted) {
        this.#startLeading(disks)
      }
      return Promise.resolve()
    })
  }

  async #becomeCandidate(term: number, startMs: number, transfer: boolean): Promise<boolean> {
    const replica = this.#replica
    const overtaken = replica.term !== term - 1 || !replica.canBeElected
    if (overtaken || (!transfer && replica.heardLeaderMs > startMs)) return false
    await replica.adoptTerm(term, replica.memberId)
    replica.setRole('candidate', undefined)
    return true
  }

  #describe() {
    const { memberId, diskId, log } = this.#replica
    const { lastIndex, lastTerm } = log
    return { candidateId: memberId, diskId, lastIndex, lastTerm }
  }
}
