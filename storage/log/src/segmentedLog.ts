/**
 * The segments of one data folder, oldest first. Only the last one is written to; when it is full a new one
 * follows. Compaction removes from the front, so that what is left has no gap after a crash at any step.
 */
import type { FileSystem } from './fileSystem.js'
import type { LogChange } from './logChange.js'
import type { LogIndex } from './logIndex.js'
import { Segment } from './segment.js'

export interface SegmentedLogOptions {
  readonly files: FileSystem
  readonly folder: string
  readonly segmentBytesMax: number
  /** At least one. */
  readonly segments: Segment[]
  /** The index of the next entry, as it stands on disk. */
  readonly nextIndex: number
}

export class SegmentedLog {
  readonly #opts: SegmentedLogOptions
  #segments: Segment[]
  #nextIndex: number

  constructor(opts: SegmentedLogOptions) {
    this.#opts = opts
    this.#segments = opts.segments
    this.#nextIndex = opts.nextIndex
  }

  get sizeBytes(): number {
    return this.#segments.reduce((sum, segment) => sum + segment.sizeBytes, 0)
  }

  /** Makes the changes durable as one frame. */
  async write(changes: readonly LogChange[]): Promise<void> {
    const body = Buffer.concat(changes.map((change) => change.body))
    const segment = await this.#pickSegment(body.length)
    const highest = Math.max(...changes.map((change) => change.nextIndex))
    let offsetBytes = await segment.writeFrame(body, highest)
    for (const change of changes) {
      change.markDurable(segment, offsetBytes)
      offsetBytes += change.body.length
      this.#nextIndex = change.nextIndex
    }
  }

  /** Removes the segments whose entries are all below `keepFromIndex`, but never the last one. */
  async compact(index: LogIndex, keepFromIndex: number): Promise<void> {
    while (this.#segments.length > 1) {
      const oldest = this.#segments[0]
      if (oldest === undefined || oldest.nextIndex > keepFromIndex) return
      this.#segments.shift()
      index.dropSegment(oldest)
      await this.#remove(oldest)
    }
  }

  /**
   * Leaves all segments behind for the first one of another generation, which `putInForce` makes the one that
   * counts. The segment has its room before that: without it what came next would go to a segment that is void.
   */
  async startGeneration(
    generation: number,
    firstIndex: number,
    commitGeneration: () => Promise<void>,
  ): Promise<void> {
    const former = this.#segments
    const { files, folder } = this.#opts
    const prepared = await Segment.prepare(files, folder, { generation, number: 1, firstIndex })
    try {
      await commitGeneration()
    } catch (error) {
      await prepared.discard()
      throw error
    }
    this.#segments = [await prepared.place()]
    this.#nextIndex = firstIndex
    for (const segment of former) await this.#remove(segment)
  }

  /** Cuts what a refused write left behind the last frame. */
  async cutTail(): Promise<void> {
    await this.#segments.at(-1)?.cutTail()
  }

  async seal(): Promise<void> {
    await this.#segments.at(-1)?.seal()
  }

  async close(): Promise<void> {
    for (const segment of this.#segments) await segment.retire()
  }

  async #pickSegment(bodyBytes: number): Promise<Segment> {
    const last = this.#segments.at(-1)
    if (last === undefined) throw new Error('a log without segments')
    if (!last.isFullFor(bodyBytes, this.#opts.segmentBytesMax)) return last
    const { generation, number } = last.id
    const next = await this.#create({ generation, number: number + 1, firstIndex: this.#nextIndex })
    this.#segments.push(next)
    return next
  }

  #create(id: Segment['id']): Promise<Segment> {
    return Segment.create(this.#opts.files, this.#opts.folder, id)
  }

  async #remove(segment: Segment): Promise<void> {
    await segment.retire()
    await this.#opts.files.removeFile(segment.path)
    await this.#opts.files.syncFolder(this.#opts.folder)
  }
}
