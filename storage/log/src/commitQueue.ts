/**
 * Runs all writes of one store one after the other. Log changes that are queued together are written as one
 * frame, with one write and one sync (group commit); any other write runs alone, in queue order.
 *
 * A failed write stops the queue for good: that write, all queued ones and all later ones reject with the same
 * error, and log changes that are not yet durable are undone in memory. A full disk rejects only that write and
 * the queued ones, and later writes are tried again: when members stopped for good after 0.5 s without disk
 * space, five of them doing so in turn left the group without a leader.
 */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Logger } from '@nettlespur/core.logger'
import type { LogChange } from './logChange.js'
import { toStorageError } from './storageErrors.js'

export interface CommitQueueOptions {
  readonly logger: Logger
  /** Maximum size of a batch of several changes; a larger change is written alone. */
  readonly batchBytesMax: number
  /** Writes the changes as one frame and syncs it. */
  readonly write: (changes: readonly LogChange[]) => Promise<void>
  /** Truncates the bytes left behind by a write that failed on a full disk. */
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
  #rejectedCount = 0

  constructor(opts: CommitQueueOptions) {
    this.#opts = opts
  }

  /** Whether the last write failed because the disk was full. */
  get isFull(): boolean {
    return this.#rejectedCount > 0
  }

  /** The error that stopped the queue; undefined while it accepts writes. */
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

  /** Resolves when the queue is empty and no write is running. */
  async drain(): Promise<void> {
    await this.#running
  }

  async #run(): Promise<void> {
    // Lets all calls made in the same synchronous code join the first batch.
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
      this.#logResumed()
      for (const { resolve } of batch) resolve()
    } catch (error) {
      this.#failBatch(batch, toStorageError(error))
    }
  }

  #logResumed(): void {
    if (!this.isFull) return
    this.#opts.logger.info({ event: 'storage.resumed', refused: this.#rejectedCount })
    this.#rejectedCount = 0
  }

  /** Dequeues either one write that runs alone, or as many log changes as fit into a batch. */
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

  #failBatch(batch: QueuedWrite[], failure: NettlespurError): void {
    const { kind, message: reason } = failure
    const isFinal = kind !== 'disk-full'
    if (isFinal) this.#failure = failure
    if (isFinal) this.#opts.logger.error({ event: 'storage.stopped', kind, reason })
    else if (!this.isFull) this.#opts.logger.warn({ event: 'storage.full', reason })
    const lost = [...batch, ...this.#waiting]
    this.#waiting = []
    if (!isFinal) this.#rejectedCount += lost.length
    for (const { work } of lost.toReversed()) {
      if (typeof work !== 'function') work.undo()
    }
    for (const { reject } of lost) reject(failure)
  }
}
