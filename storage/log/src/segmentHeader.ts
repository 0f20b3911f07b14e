/**
 * Header and file name of a segment. Each installed snapshot starts a new generation, which makes the segments of
 * older generations obsolete. Within a generation, segments are numbered without gaps.
 *
 * Layout: magic (8 bytes), generation (6), number (6), first index (6), nonce (8), CRC-32 of all before (4).
 */
import { crc32 } from 'node:zlib'
import { nonceBytes } from './frame.js'

export const segmentHeaderBytes = 38
const magic = Buffer.from('NSPSEG01')
const crcOffset = segmentHeaderBytes - 4
const namePattern = /^segment-(\d{8})-(\d{10})-(\d{15})\.log$/

export interface SegmentId {
  readonly generation: number
  readonly number: number
  /** Index of the next entry at the time the segment is created. */
  readonly firstIndex: number
}

export interface SegmentHeader extends SegmentId {
  /** Random, so that no payload contains bytes that look like a frame of this segment. */
  readonly nonce: Buffer
}

export function nameSegment(id: SegmentId): string {
  const generation = String(id.generation).padStart(8, '0')
  const number = String(id.number).padStart(10, '0')
  return `segment-${generation}-${number}-${String(id.firstIndex).padStart(15, '0')}.log`
}

export function parseSegmentName(name: string): SegmentId | undefined {
  const match = namePattern.exec(name)
  if (match === null) return undefined
  const [generation = 0, number = 0, firstIndex = 0] = match.slice(1).map(Number)
  return { generation, number, firstIndex }
}

export function encodeSegmentHeader(header: SegmentHeader): Buffer {
  const bytes = Buffer.alloc(segmentHeaderBytes)
  magic.copy(bytes)
  bytes.writeUIntBE(header.generation, 8, 6)
  bytes.writeUIntBE(header.number, 14, 6)
  bytes.writeUIntBE(header.firstIndex, 20, 6)
  header.nonce.copy(bytes, 26)
  bytes.writeUInt32BE(crc32(bytes.subarray(0, crcOffset)), crcOffset)
  return bytes
}

/** Returns the nonce; undefined if the header is damaged or belongs to another segment. */
export function readNonce(bytes: Buffer, id: SegmentId): Buffer | undefined {
  const nonce = Buffer.from(bytes.subarray(26, 26 + nonceBytes))
  if (nonce.length < nonceBytes) return undefined
  const expected = encodeSegmentHeader({ ...id, nonce })
  return expected.equals(bytes.subarray(0, segmentHeaderBytes)) ? nonce : undefined
}
