/**
 * One record of a segment: an entry, or the truncation of the log from an index on. Truncations are records
 * too, so that segments are append-only.
 *
 * Layout: kind (1 byte), index (6), term (6), payload length (4), CRC-32 of the fields before and
 * the payload (4), payload.
 */
import { crc32 } from 'node:zlib'

export const recordHeaderBytes = 21
const crcOffset = 17
const kinds = ['entry', 'truncate'] as const

export interface LogRecord {
  readonly kind: (typeof kinds)[number]
  readonly index: number
  readonly term: number
  readonly payload: Buffer
}

export function encodeRecord(record: LogRecord): Buffer {
  const header = Buffer.alloc(recordHeaderBytes)
  header.writeUInt8(kinds.indexOf(record.kind), 0)
  header.writeUIntBE(record.index, 1, 6)
  header.writeUIntBE(record.term, 7, 6)
  header.writeUInt32BE(record.payload.length, 13)
  header.writeUInt32BE(checksum(header, record.payload), crcOffset)
  return Buffer.concat([header, record.payload])
}

/** Returns undefined if the bytes do not begin with a complete, valid record. */
export function decodeRecord(bytes: Buffer): LogRecord | undefined {
  if (bytes.length < recordHeaderBytes) return undefined
  const kind = kinds[bytes.readUInt8(0)]
  const endBytes = recordHeaderBytes + bytes.readUInt32BE(13)
  if (kind === undefined || endBytes > bytes.length) return undefined
  const payload = bytes.subarray(recordHeaderBytes, endBytes)
  if (checksum(bytes, payload) !== bytes.readUInt32BE(crcOffset)) return undefined
  return { kind, index: bytes.readUIntBE(1, 6), term: bytes.readUIntBE(7, 6), payload }
}

function checksum(header: Buffer, payload: Buffer): number {
  return crc32(payload, crc32(header.subarray(0, crcOffset)))
}
