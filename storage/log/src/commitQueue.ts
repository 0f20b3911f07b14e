/**
 * Puts all writes of one store in one line. Changes of the log that wait together become one frame, and so
 * share one write and one sync; other writes run by themselves, in their turn. The first write that fails
 * stops the line for good: it and all that wait or come later get the same error, and changes not yet
 * durable are undone in memory.
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
}

interface Waiting {
  readonly work: LogChange | (() => Promise<void>)
  readonly resolve: () => void
  readonly reject: (error: NettlespurError) => void
}

export class CommitQueue {
  readonly #opts: CommitQueueOptions
  #waiting: Waiting[] = []
  #running: Promise<void> | undefined
  #failure: NettlespurError | undefined

  constructor(opts: CommitQueueOptions) {
    this.#opts = opts
  }

  /** Set once a write has failed. */
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
  async settle(): Promise<void> {
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

  async #runBatch(batch: Waiting[]): Promise<void> {
    const works = batch.map(({ work }) => work)
    try {
      const [first] = works
      if (typeof first === 'function') await first()
      else await this.#opts.write(works.filter((work) => typeof work !== 'function'))
      for (const { resolve } of batch) resolve()
    } catch (error) {
      this.#stop(batch, toStorageError(error))
    }
  }

  /** One write of another kind, or as many changes as go together. */
  #takeBatch(): Waiting[] {
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

  #stop(batch: Waiting[], failure: NettlespurError): void {
    this.#failure = failure
    this.#opts.logger.error({
      event: 'storage.stopped',
      kind: failure.kind,
      reason: failure.message,
    })
    const lost = [...batch, ...this.#waiting]
    this.#waiting = []
    for (const { work } of lost.toReversed()) {
      if (typeof work !== 'function') work.undo()
    }
    for (const { reject } of lost) reject(failure)
  }
}
