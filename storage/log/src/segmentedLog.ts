/**
 * The segments of one data folder, oldest first. Only the last one is written to; when it is full, a new one is
 * created. Compaction removes the oldest first, so that a crash at any step leaves no gap.
 */
import { maxOf } from '@nettlespur/core.lists'
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
  /** Index of the next entry, counting durable changes only. */
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
    const highest = maxOf(changes.map((change) => change.nextIndex))
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
   * Replaces all segments by the first one of a new generation, which `commitGeneration` makes the current one.
   * The new segment is written to disk before that: if the disk were full afterwards, later writes would go to
   * an obsolete segment.
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

  /** Truncates what a failed write left after the last frame. */
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
    if (last === undefined) throw new Error('the log has no segments')
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
