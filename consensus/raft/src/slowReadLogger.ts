/**
 * Logs reads whose confirmation was slow or refused, with the step that caused it and the voters that were silent. At
 * most one line a second is written, with the count of those left out, as many reads can wait for the same answers.
 */
import type { PeerProgress } from './peerProgress.js'
import type { Replica } from './replica.js'

const lineEveryMs = 1000

/** The steps that a read waits for, in this order. */
export type ReadStep = 'commit' | 'quorum' | 'apply'

export interface ReadReport {
  readonly outcome: 'slow' | 'refused'
  readonly step: ReadStep
  readonly tookMs: number
}

/** The leadership whose reads are logged. */
export interface ReadingLeader<R> {
  readonly replica: Replica<R>
  readonly term: number
  /** Aborted when the leadership ends. */
  readonly ended: AbortSignal
  getProgress(memberId: string): PeerProgress | undefined
}

export class SlowReadLogger<R> {
  readonly #leader: ReadingLeader<R>
  #lineMs = -Infinity
  #unwritten = 0

  constructor(leader: ReadingLeader<R>) {
    this.#leader = leader
  }

  note({ outcome, step, tookMs }: ReadReport): void {
    const { clock, opts } = this.#leader.replica
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#lineMs < lineEveryMs) {
      this.#unwritten += 1
      return
    }
    const event = `raft.read-${outcome}`
    const { term, ended } = this.#leader
    const others = this.#unwritten
    const base = { event, term, step, tookMs: Math.round(tookMs), hasEnded: ended.aborted, others }
    opts.logger.info({ ...base, silent: this.#listSilent(nowMs) })
    this.#lineMs = nowMs
    this.#unwritten = 0
  }

  /** Lists each voter that has not answered for two heartbeats, as `MEMBER:MILLISECONDS` since its last answer. */
  #listSilent(nowMs: number): string[] {
    const { replica } = this.#leader
    const { voters, outgoing } = replica.membership
    const quietMsMax = 2 * replica.opts.timings.heartbeatMs
    return [...new Set([...voters, ...(outgoing ?? [])])]
      .filter((memberId) => memberId !== replica.memberId)
      .map((memberId) => ({
        memberId,
        lastAnswerMs: this.#leader.getProgress(memberId)?.lastAnswerMs,
      }))
      .map(({ memberId, lastAnswerMs }) => ({
        memberId,
        quietMs: nowMs - (lastAnswerMs ?? -Infinity),
      }))
      .filter(({ quietMs }) => quietMs > quietMsMax)
      .map(({ memberId, quietMs }) => `${memberId}:${Math.round(quietMs)}`)
  }
}
