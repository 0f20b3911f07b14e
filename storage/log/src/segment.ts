/** One open segment. Frames are added at its end and synced one by one; records are read by their place. */
import { randomBytes } from 'node:crypto'
import path from 'node:path'
import type { FileSystem, OpenFile } from './fileSystem.js'
import { encodeFrame, frameHeaderBytes, nonceBytes } from './frame.js'
import type { SegmentScan } from './scanSegment.js'
import {
  encodeSegmentHeader,
  nameSegment,
  segmentHeaderBytes,
  type SegmentId,
} from './segmentHeader.js'
import { toUnrecoverableError, toStorageError } from './storageErrors.js'
import { prepareFile } from './writeAside.js'

/** A segment that has its room on the disk, and no name yet. */
export interface PreparedSegment {
  place(): Promise<Segment>
  discard(): Promise<void>
}

export class Segment {
  readonly id: SegmentId
  readonly path: string
  readonly #file: OpenFile
  readonly #nonce: Buffer
  #sizeBytes: number
  #frames: number
  #sealed = false
  #nextIndex: number
  #readers = 0
  #retired = false

  private constructor(id: SegmentId, filePath: string, file: OpenFile, scan: SegmentScan) {
    this.id = id
    this.path = filePath
    this.#file = file
    this.#nonce = scan.nonce
    this.#sizeBytes = scan.endBytes
    this.#frames = scan.frames
    this.#nextIndex = findNextIndex(id, scan)
  }

  static async create(files: FileSystem, folder: string, id: SegmentId): Promise<Segment> {
    return (await Segment.prepare(files, folder, id)).place()
  }

  /** Its head is synced before it gets its name: a segment is never seen without a whole head. */
  static async prepare(files: FileSystem, folder: string, id: SegmentId): Promise<PreparedSegment> {
    const nonce = randomBytes(nonceBytes)
    const filePath = path.join(folder, nameSegment(id))
    const aside = await prepareFile(files, filePath, encodeSegmentHeader({ ...id, nonce }))
    const scan = { nonce, records: [], frames: 0, endBytes: segmentHeaderBytes }
    return {
      place: async () => new Segment(id, filePath, await aside.place(), scan),
      discard: () => aside.discard(),
    }
  }

  static async open(
    files: FileSystem,
    filePath: string,
    id: SegmentId,
    scan: SegmentScan,
  ): Promise<Segment> {
    return new Segment(id, filePath, await files.openFile(filePath), scan)
  }

  get sizeBytes(): number {
    return this.#sizeBytes
  }

  /** Above the index of every entry that stands in it, also of those removed since. */
  get nextIndex(): number {
    return this.#nextIndex
  }

  /** Whether a frame of `bodyBytes` would make a segment that holds one already larger than `limitBytes`. */
  isFullFor(bodyBytes: number, limitBytes: number): boolean {
    return this.#frames > 0 && this.#sizeBytes + frameHeaderBytes + bodyBytes > limitBytes
  }

  /** Writes and syncs one frame, whose entries are below `nextIndex`; resolves to where its body begins. */
  async writeFrame(body: Buffer, nextIndex = 0): Promise<number> {
    this.#nextIndex = Math.max(this.#nextIndex, nextIndex)
    const frame = encodeFrame(this.#nonce, this.#frames, body)
    await this.#file.write(frame, this.#sizeBytes)
    await this.#sync()
    const offsetBytes = this.#sizeBytes + frameHeaderBytes
    this.#sizeBytes += frame.length
    this.#frames++
    this.#sealed = body.length === 0
    return offsetBytes
  }

  /** After it, damage to any record that stands in the segment now is told from a torn write. */
  async seal(): Promise<void> {
    if (!this.#sealed) await this.writeFrame(Buffer.alloc(0))
  }

  /**
   * Cuts what follows the last whole frame, and syncs that frame, which a process that died may not have:
   * otherwise a frame written after it could outlive it.
   */
  async cutTail(): Promise<void> {
    await this.#file.truncate(this.#sizeBytes)
    await this.#sync()
  }

  async read(offsetBytes: number, lengthBytes: number): Promise<Buffer> {
    this.#readers++
    try {
      return await this.#file.read(offsetBytes, lengthBytes)
    } catch (error) {
      throw toStorageError(error)
    } finally {
      this.#readers--
      if (this.#retired && this.#readers === 0) await this.#file.close()
    }
  }

  /** Where it failed, the next one may pass without what this one was for. */
  async #sync(): Promise<void> {
    try {
      await this.#file.sync()
    } catch (error) {
      throw toUnrecoverableError(error)
    }
  }

  /** Closes the file, once reads in progress have ended. */
  async retire(): Promise<void> {
    if (this.#retired) return
    this.#retired = true
    if (this.#readers === 0) await this.#file.close()
  }
}

function findNextIndex(id: SegmentId, scan: SegmentScan): number {
  return scan.records.reduce((next, { record }) => {
    return record.kind === 'entry' ? Math.max(next, record.index + 1) : next
  }, id.firstIndex)
}
