/**
 * A frame holds the records of one write. A frame is written only after the one before is synced, so a later
 * frame behind an invalid one proves that the invalid one was once complete: it is damaged, not torn.
 *
 * Layout: nonce of the segment (8 bytes), sequence number in the segment (4), body length (4), CRC-32 of the body (4),
 * CRC-32 of the header (4), body. An empty frame seals those before it: damage to them is no longer
 * taken for a torn write.
 */
import { crc32 } from 'node:zlib'

export const frameHeaderBytes = 24
export const nonceBytes = 8
const headerCrcOffset = 20

export function encodeFrame(nonce: Buffer, sequence: number, body: Buffer): Buffer {
  const header = Buffer.alloc(frameHeaderBytes)
  nonce.copy(header)
  header.writeUInt32BE(sequence, 8)
  header.writeUInt32BE(body.length, 12)
  header.writeUInt32BE(crc32(body), 16)
  header.writeUInt32BE(crc32(header.subarray(0, headerCrcOffset)), headerCrcOffset)
  return Buffer.concat([header, body])
}

/** Returns the body of the frame at `offsetBytes`; undefined if it is incomplete, invalid or not number `sequence`. */
export function decodeFrame(
  bytes: Buffer,
  offsetBytes: number,
  nonce: Buffer,
  sequence: number,
): Buffer | undefined {
  if (readSequence(bytes, offsetBytes, nonce) !== sequence) return undefined
  const start = offsetBytes + frameHeaderBytes
  const body = bytes.subarray(start, start + bytes.readUInt32BE(offsetBytes + 12))
  if (body.length !== bytes.readUInt32BE(offsetBytes + 12)) return undefined
  return crc32(body) === bytes.readUInt32BE(offsetBytes + 16) ? body : undefined
}

/** Returns the offset of a valid frame header after `offsetBytes` with a number above `sequence`, or undefined. */
export function findLaterFrame(
  bytes: Buffer,
  offsetBytes: number,
  nonce: Buffer,
  sequence: number,
): number | undefined {
  let at = bytes.indexOf(nonce, offsetBytes + 1)
  while (at !== -1) {
    const found = readSequence(bytes, at, nonce)
    if (found !== undefined && found > sequence) return at
    at = bytes.indexOf(nonce, at + 1)
  }
  return undefined
}

function readSequence(bytes: Buffer, offsetBytes: number, nonce: Buffer): number | undefined {
  const header = bytes.subarray(offsetBytes, offsetBytes + frameHeaderBytes)
  if (header.length < frameHeaderBytes || !header.subarray(0, nonceBytes).equals(nonce)) {
    return undefined
  }
  const crc = crc32(header.subarray(0, headerCrcOffset))
  return crc === header.readUInt32BE(headerCrcOffset) ? header.readUInt32BE(8) : undefined
}
