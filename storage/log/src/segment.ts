/** One open segment. Each frame is appended and synced before the next; records are read by their offset. */
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

/** A segment whose header is written under a temporary name; `place` renames it to its final name. */
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

  /** The header is synced before the file gets its final name, so that no named segment has an incomplete header. */
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

  /** Greater than the index of every entry stored in the segment, including those truncated since. */
  get nextIndex(): number {
    return this.#nextIndex
  }

  /** Whether a frame of `bodyBytes` would make the segment larger than `limitBytes`; false if it has no frame yet. */
  isFullFor(bodyBytes: number, limitBytes: number): boolean {
    return this.#frames > 0 && this.#sizeBytes + frameHeaderBytes + bodyBytes > limitBytes
  }

  /** Writes and syncs one frame, whose entries are below `nextIndex`. Resolves to the offset of its body. */
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

  /** Appends an empty frame, so that damage to any record before it can no longer be taken for a torn write. */
  async seal(): Promise<void> {
    if (!this.#sealed) await this.writeFrame(Buffer.alloc(0))
  }

  /**
   * Truncates everything after the last valid frame, and syncs that frame, because the process that wrote it may
   * have died before its sync: otherwise a crash could lose this frame and keep one written after it.
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

  /** After a failed sync the next one may succeed without having written the lost data, so the failure is final. */
  async #sync(): Promise<void> {
    try {
      await this.#file.sync()
    } catch (error) {
      throw toUnrecoverableError(error)
    }
  }

  /** Closes the file once reads in progress have ended. */
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
