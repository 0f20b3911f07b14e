/**
 * Puts all writes of one store in one line. Changes of the log that wait together become one frame, and so
 * share one write and one sync; other writes run by themselves, in their turn. A write that fails stops the
 * line for good: it and all that wait or come later get the same error, and changes not yet durable are
 * undone in memory. A full disk refuses only it and what waits: later writes are tried again, since a member
 * that stayed away after 0.5 s without room, five of them one after the other, left a group without a leader.
 */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { LogChange } from './logChange.js'
import { toStorageError } from './storageErrors.js'

export interface CommitQueueOptions {
  readonly logger: Logger
  /** A batch takes no further change once it holds as many bytes. */
  readonly batchBytesMax: number
  /** Makes the changes durable, as a whole. */
  readonly write: (changes: readonly LogChange[]) => Promise<void>
  /** Removes what a write that a full disk refused has left. */
  readonly cutTail: () => Promise<void>
}

interface QueuedWrite {
  readonly work: LogChange | (() => Promise<void>)
  readonly resolve: () => void
  readonly reject: (error: NettlespurError) => void
}

export class CommitQueue {
  readonly #opts: CommitQueueOptions
  #waiting: QueuedWrite[] = []
  #running: Promise<void> | undefined
  #failure: NettlespurError | undefined
  #refused = 0

  constructor(opts: CommitQueueOptions) {
    this.#opts = opts
  }

  /** The last write found the disk full. */
  get isFull(): boolean {
    return this.#refused > 0
  }

  /** Set once a write has failed for good. */
  get failure(): NettlespurError | undefined {
    return this.#failure
  }

  add(work: LogChange | (() => Promise<void>)): Promise<void> {
    if (this.#failure !== undefined) return Promise.reject(this.#failure)
    return new Promise((resolve, reject) => {
      this.#waiting.push({ work, resolve, reject })
      this.#running ??= this.#run()
    })
  }

  /** Resolves when nothing waits any more. */
  async drain(): Promise<void> {
    await this.#running
  }

  async #run(): Promise<void> {
    // Lets all calls of this turn join the first batch.
    await Promise.resolve()
    while (this.#waiting.length > 0 && this.#failure === undefined) {
      await this.#runBatch(this.#takeBatch())
    }
    this.#running = undefined
  }

  async #runBatch(batch: QueuedWrite[]): Promise<void> {
    const works = batch.map(({ work }) => work)
    try {
      if (this.isFull) await this.#opts.cutTail()
      const [first] = works
      if (typeof first === 'function') await first()
      else await this.#opts.write(works.filter((work) => typeof work !== 'function'))
      this.#noteRoom()
      for (const { resolve } of batch) resolve()
    } catch (error) {
      this.#refuse(batch, toStorageError(error))
    }
  }

  #noteRoom(): void {
    if (!this.isFull) return
    this.#opts.logger.info({ event: 'storage.resumed', refused: this.#refused })
    this.#refused = 0
  }

  /** One write of another kind, or as many changes as go together. */
  #takeBatch(): QueuedWrite[] {
    let count = 0
    let bytes = 0
    for (const { work } of this.#waiting) {
      const alone = typeof work === 'function'
      if (count > 0 && (alone || bytes + work.body.length > this.#opts.batchBytesMax)) break
      count++
      if (alone) break
      bytes += work.body.length
    }
    return this.#waiting.splice(0, count)
  }

  #refuse(batch: QueuedWrite[], failure: NettlespurError): void {
    const { kind, message: reason } = failure
    const isFinal = kind !== 'disk-full'
    if (isFinal) this.#failure = failure
    if (isFinal) this.#opts.logger.error({ event: 'storage.stopped', kind, reason })
    else if (!this.isFull) this.#opts.logger.warn({ event: 'storage.full', reason })
    const lost = [...batch, ...this.#waiting]
    this.#waiting = []
    if (!isFinal) this.#refused += lost.length
    for (const { work } of lost.toReversed()) {
      if (typeof work !== 'function') work.undo()
    }
    for (const { reject } of lost) reject(failure)
  }
}
