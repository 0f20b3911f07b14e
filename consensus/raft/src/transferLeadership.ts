/**
 * Transfers the leadership to another voter before a planned stop: to the most up-to-date one, or to the next if that
 * one does not take over.
 */
import { waitFor, type Clock } from '@nettlespur/core.clock'
import { startWith } from 'rxjs'
import type { Leader } from './leader.js'
import { isVoter, type Member } from './member.js'

/** Limit in election timeouts: one to find a voter that can lead, one until it is elected. */
const handOverTimeouts = 2

/**
 * Returns whether this instance no longer leads. New proposals are rejected until the transfer succeeds or gives up.
 */
export async function transferLeadership<R>(leader: Leader<R>): Promise<boolean> {
  if (listOthers(leader).length === 0) return false
  leader.isTransferring = true
  const done = await new Transfer(leader).run()
  leader.isTransferring = false
  return done
}

class Transfer<R> {
  readonly #leader: Leader<R>
  readonly #clock: Clock
  readonly #timeoutMs: number
  readonly #endMs: number
  readonly #tried = new Set<string>()

  constructor(leader: Leader<R>) {
    const { clock, opts } = leader.replica
    this.#leader = leader
    this.#clock = clock
    this.#timeoutMs = opts.timings.electionTimeoutMs
    this.#endMs = clock.monotonicMs() + handOverTimeouts * this.#timeoutMs
  }

  async run(): Promise<boolean> {
    const { logger } = this.#leader.replica.opts
    while (!this.#isOver) {
      const target = await this.#awaitTarget()
      if (target === undefined) {
        logger.warn({ event: 'raft.leadership-kept', silent: this.#listUntried().join() })
        return this.#isOver
      }
      this.#tried.add(target.memberId)
      const done = await this.#tryTarget(target)
      logger.info({ event: 'raft.leadership-transfer', to: target.memberId, done })
      if (done) return true
    }
    return true
  }

  get #isOver(): boolean {
    return this.#leader.ended.aborted
  }

  /**
   * Waits for a voter that can lead, as right after an election none has answered yet. A leader that stopped without
   * waiting would leave the group without a leader for at least an election timeout. Returns undefined if there is
   * none.
   */
  async #awaitTarget(): Promise<Member | undefined> {
    if (this.#listUntried().length === 0) return undefined
    await this.#waitForAnswer(() => this.#pickTarget() !== undefined)
    return this.#pickTarget()
  }

  #listUntried(): string[] {
    const others = listOthers(this.#leader).map(({ memberId }) => memberId)
    return others.filter((memberId) => !this.#tried.has(memberId))
  }

  #pickTarget(): Member | undefined {
    const leader = this.#leader
    const lag = ({ memberId }: Member): number => -(leader.getProgress(memberId)?.matchIndex ?? 0)
    const answers = ({ memberId }: Member): boolean => {
      const lastAnswerMs = leader.getProgress(memberId)?.lastAnswerMs ?? -Infinity
      return this.#clock.monotonicMs() - lastAnswerMs < this.#timeoutMs
    }
    return listOthers(leader)
      .filter((member) => !this.#tried.has(member.memberId))
      .filter((member) => leader.hasMatchingDisk(member.memberId) && answers(member))
      .sort((left, right) => lag(left) - lag(right))[0]
  }

  async #tryTarget(target: Member): Promise<boolean> {
    const { term, replica } = this.#leader
    const { log, opts, memberId: leaderId, leadership } = replica
    const isLevel = (): boolean =>
      this.#leader.getProgress(target.memberId)?.matchIndex === log.lastIndex
    if (!(await this.#waitForAnswer(isLevel))) return this.#isOver
    this.#leader.canHoldLease = false
    try {
      await opts.transport.timeoutNow(target, { term, leaderId })
    } catch (cause) {
      const reason = String(cause)
      opts.logger.info({ event: 'raft.transfer-unanswered', to: target.memberId, reason })
      return this.#isOver
    }
    const leadsNoMore = ({ role }: { role: string }): boolean => role !== 'leader'
    return waitFor(this.#clock, leadership, leadsNoMore, { timeoutMs: this.#limitMs() })
  }

  /** Waits until `passes` returns true, checked now and after each answer of a peer. Returns false on timeout. */
  #waitForAnswer(passes: () => boolean): Promise<boolean> {
    const answers = this.#leader.answers.pipe(startWith(undefined))
    const { ended: signal } = this.#leader
    return waitFor(this.#clock, answers, passes, { timeoutMs: this.#limitMs(), signal })
  }

  /** Returns the time that one step may wait: an election timeout, or what is left for the whole transfer. */
  #limitMs(): number {
    const leftMs = Math.max(0, this.#endMs - this.#clock.monotonicMs())
    return Math.min(this.#timeoutMs, leftMs)
  }
}

function listOthers<R>({ replica: { membership, memberId: ownId } }: Leader<R>): Member[] {
  return membership.members.filter(
    ({ memberId }) => memberId !== ownId && isVoter(membership, memberId),
  )
}
