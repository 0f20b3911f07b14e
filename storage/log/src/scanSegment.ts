/** Reads all records of one segment, and distinguishes a torn tail from damage. */
import { addAll } from '@nettlespur/core.lists'
import { decodeFrame, findLaterFrame, frameHeaderBytes } from './frame.js'
import { decodeRecord, recordHeaderBytes, type LogRecord } from './logRecord.js'
import { readNonce, segmentHeaderBytes, type SegmentId } from './segmentHeader.js'
import { damagedError } from './storageErrors.js'

export interface ScannedRecord {
  readonly record: LogRecord
  readonly offsetBytes: number
  readonly lengthBytes: number
}

export interface SegmentScan {
  readonly nonce: Buffer
  readonly records: readonly ScannedRecord[]
  readonly frames: number
  /** End of the last valid frame; any bytes after it are a torn tail. */
  readonly endBytes: number
}

export interface ScanSegmentOptions {
  readonly bytes: Buffer
  readonly file: string
  readonly id: SegmentId
  /** Only the last segment may have a torn tail: every other one was synced before the next was created. */
  readonly isLast: boolean
}

/** Throws `storage-damaged`, with file and byte offset. */
export function scanSegment(opts: ScanSegmentOptions): SegmentScan {
  const { bytes, file } = opts
  const nonce = readNonce(bytes, opts.id)
  if (nonce === undefined) throw damagedError(file, 0, 'invalid segment header')
  const records: ScannedRecord[] = []
  let frames = 0
  let endBytes = segmentHeaderBytes
  while (endBytes < bytes.length) {
    const body = decodeFrame(bytes, endBytes, nonce, frames)
    if (body === undefined) {
      checkTornTail(opts, endBytes, nonce, frames)
      break
    }
    addAll(records, scanBody(body, endBytes + frameHeaderBytes, file))
    endBytes += frameHeaderBytes + body.length
    frames++
  }
  return { nonce, records, frames, endBytes }
}

function checkTornTail(
  opts: ScanSegmentOptions,
  offsetBytes: number,
  nonce: Buffer,
  sequence: number,
): void {
  if (!opts.isLast)
    throw damagedError(opts.file, offsetBytes, 'bad frame, and later segments follow')
  const later = findLaterFrame(opts.bytes, offsetBytes, nonce, sequence)
  if (later !== undefined) {
    throw damagedError(opts.file, offsetBytes, `bad frame, and a later one follows at ${later}`)
  }
}

function scanBody(body: Buffer, startBytes: number, file: string): ScannedRecord[] {
  const records: ScannedRecord[] = []
  let offset = 0
  while (offset < body.length) {
    const record = decodeRecord(body.subarray(offset))
    if (record === undefined) throw damagedError(file, startBytes + offset, 'bad record')
    const lengthBytes = recordHeaderBytes + record.payload.length
    records.push({ record, offsetBytes: startBytes + offset, lengthBytes })
    offset += lengthBytes
  }
  return records
}
