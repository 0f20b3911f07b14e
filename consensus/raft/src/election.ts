/**
 * Stands for election after a silence of random length. A pre-vote comes first, so that a member that only
 * lost its connections raises nobody's term.
 */
import { pollVoters } from './poll.js'
import type { Replica } from './replica.js'

/** How much longer than the shortest the longest wait is, so that few stand at the same time. */
const spreadShare = 0.5

/** Takes over the leadership of the present term; given the disks of those who voted. */
export type StartLeading = (disks: ReadonlyMap<string, string>) => void

export class Election<R> {
  readonly #replica: Replica<R>
  readonly #startLeading: StartLeading

  constructor(replica: Replica<R>, startLeading: StartLeading) {
    this.#replica = replica
    this.#startLeading = startLeading
  }

  /** One task, until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const isOver = (): boolean => signal.aborted
    if (this.#isAlone()) await this.#tryToLead(false, signal)
    while (!isOver()) {
      await this.#waitForSilence(this.#drawWaitMs(), signal)
      if (!isOver()) await this.#tryToLead(false, signal)
    }
  }

  /**
   * A member that has heard no leader since its start waits for one to two heartbeats: a leader that lives reaches it
   * within one, and the others refuse to unseat that leader anyway.
   */
  #drawWaitMs(): number {
    const { canElectEarly, opts } = this.#replica
    const { heartbeatMs, electionTimeoutMs } = opts.timings
    const random = this.#replica.random()
    if (canElectEarly) return heartbeatMs * (1 + random)
    return electionTimeoutMs * (1 + random * spreadShare)
  }

  /** Stands at once, on the leader's own word. */
  async campaignNow(term: number, signal: AbortSignal): Promise<void> {
    if (term === this.#replica.term) await this.#tryToLead(true, signal)
  }

  /** A fault of the disk ends one attempt, not the task. */
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
