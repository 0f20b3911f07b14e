/**
 * The leader's replication task for one peer. Sends one request at a time: the entries the peer lacks, a chunk of a
 * snapshot if the log has been compacted past them, or no entries as a heartbeat.
 */
import { findMember } from './member.js'
import { PeerProgress } from './peerProgress.js'
import type { Replica } from './replica.js'
import { SnapshotSender } from './snapshotSender.js'
import { Wake } from '@nettlespur/core.clock'

const shortestRetryShare = 0.5

export interface PeerReplicatorOptions<R> {
  replica: Replica<R>
  term: number
  peerId: string
  /** Returns the next sequence number of this leadership's requests, counted over all peers. */
  allocateSequence: () => number
  /** Called after each answer that is recorded. */
  onAnswer: () => void
}

interface Sent {
  readonly sequence: number
  readonly sentMs: number
}

export class PeerReplicator<R> {
  readonly progress: PeerProgress
  readonly #opts: PeerReplicatorOptions<R>
  readonly #snapshots: SnapshotSender<R>
  readonly #wake = new Wake()
  readonly #stopping = new AbortController()
  /** When the last request was sent. */
  #sentMs = -Infinity

  constructor(opts: PeerReplicatorOptions<R>) {
    this.#opts = opts
    const { log, clock } = opts.replica
    this.progress = new PeerProgress(log.lastIndex + 1, clock.monotonicMs())
    this.#snapshots = new SnapshotSender(opts.replica)
  }

  /** Ends the wait for the next heartbeat, so that the next request is sent now. */
  wake(): void {
    this.#wake.notify()
  }

  stop(): void {
    this.#stopping.abort()
  }

  async run(): Promise<void> {
    const { clock, opts } = this.#opts.replica
    const { heartbeatMs } = opts.timings
    const { signal } = this.#stopping
    while (!signal.aborted) {
      await this.#waitForRequestGap()
      const answered = await this.#tryExchange()
      if (!answered) await clock.sleep(heartbeatMs * this.#pickRetryShare(), signal)
      else if (!this.#hasMore()) await this.#wake.wait(clock, heartbeatMs, signal)
    }
  }

  async #waitForRequestGap(): Promise<void> {
    const { clock, opts } = this.#opts.replica
    const leftMs = this.#sentMs + (opts.timings.requestGapMs ?? 0) - clock.monotonicMs()
    if (leftMs > 0) await clock.sleep(leftMs, this.#stopping.signal)
  }

  #pickRetryShare(): number {
    return shortestRetryShare + this.#opts.replica.random() * (1 - shortestRetryShare)
  }

  #hasMore(): boolean {
    return this.progress.nextIndex <= this.#opts.replica.log.lastIndex
  }

  async #tryExchange(): Promise<boolean> {
    try {
      const { log } = this.#opts.replica
      const reaches = log.termAt(this.progress.nextIndex - 1) !== undefined
      return reaches ? await this.#sendEntries() : await this.#sendSnapshot()
    } catch {
      return false
    }
  }

  async #sendEntries(): Promise<boolean> {
    const { replica, term } = this.#opts
    const { log, limits, memberId: leaderId, commitIndex } = replica
    const { nextIndex } = this.progress
    const read = this.#hasMore() ? await log.read(nextIndex, limits.batchBytes) : []
    const prevIndex = nextIndex - 1
    const prevTerm = log.termAt(prevIndex)
    const follows = read.length === 0 || read[0]?.index === nextIndex
    // During the read the log may have been compacted, or the leadership may have ended.
    if (this.#stopping.signal.aborted || prevTerm === undefined || !follows) return false
    const entries = read.map((entry) => ({ term: entry.term, payload: entry.payload }))
    const base = { term, leaderId, prevIndex, prevTerm, entries }
    const request = { ...base, commitIndex: commitIndex.value }
    const sent = this.#startRequest()
    const { transport } = replica.opts
    const answer = await transport.appendEntries(this.#member, request)
    if (!(await this.#recordAnswer(answer, sent))) return false
    this.progress.applyAppendAnswer(answer)
    this.#opts.onAnswer()
    return true
  }

  async #sendSnapshot(): Promise<boolean> {
    const { replica, term } = this.#opts
    const request = await this.#snapshots.createPiece(term)
    if (request === undefined || this.#stopping.signal.aborted) return false
    const sent = this.#startRequest()
    const { transport } = replica.opts
    const answer = await transport.installSnapshot(this.#member, request)
    if (!(await this.#recordAnswer(answer, sent))) return false
    this.#snapshots.recordAnswer(answer)
    if (answer.installed) this.progress.installed(request.snapshotIndex)
    this.#opts.onAnswer()
    return true
  }

  #startRequest(): Sent {
    const { replica, allocateSequence } = this.#opts
    this.#sentMs = replica.clock.monotonicMs()
    return { sequence: allocateSequence(), sentMs: this.#sentMs }
  }

  /** Returns false, without recording, if the answer has a higher term or this task was stopped. */
  async #recordAnswer(answer: { term: number; diskId: string }, sent: Sent): Promise<boolean> {
    const { replica, term } = this.#opts
    if (answer.term > term) {
      await replica.noticeTerm(answer.term)
      return false
    }
    if (this.#stopping.signal.aborted) return false
    this.progress.recordAnswer(answer.diskId, sent, replica.clock.monotonicMs())
    return true
  }

  get #member() {
    const member = findMember(this.#opts.replica.membership, this.#opts.peerId)
    if (member === undefined) throw new Error(`${this.#opts.peerId} is not a member`)
    return member
  }
}
