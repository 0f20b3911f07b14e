/**
 * How records lie in a file: length and CRC-32 of the content, four bytes each, then the content. A frame
 * cut off at the end of the file was never acknowledged; a damaged one with others behind it was. What a
 * damaged length makes to look cut off cannot be told from a torn tail.
 */
import { crc32 } from 'node:zlib'
import { NettlespurError } from '@nettlespur/core.errors'

const headerBytes = 8
const crcOffset = 4

export interface FramesRead {
  readonly contents: readonly Buffer[]
  /** Bytes up to the end of the last whole frame. */
  readonly wholeBytes: number
}

export function frameRecord(content: Buffer): Buffer {
  const header = Buffer.alloc(headerBytes)
  header.writeUInt32BE(content.length, 0)
  header.writeUInt32BE(crc32(content), crcOffset)
  return Buffer.concat([header, content])
}

/** Errors: throws `storage-damaged` where a damaged frame is not the last one. */
export function readFrames(file: Buffer): FramesRead {
  const contents: Buffer[] = []
  let offset = 0
  while (offset + headerBytes <= file.length) {
    const length = file.readUInt32BE(offset)
    const end = offset + headerBytes + length
    if (end > file.length) break
    const content = file.subarray(offset + headerBytes, end)
    if (length === 0 || crc32(content) !== file.readUInt32BE(offset + crcOffset)) {
      if (end === file.length || isBlank(file.subarray(offset))) break
      throw new NettlespurError('storage-damaged', `the record at byte ${offset} is damaged`, {
        hint: 'restore the data folder, or start this instance with an empty one',
      })
    }
    contents.push(content)
    offset = end
  }
  return { contents, wholeBytes: offset }
}

/** A file may have been extended before its content was written. */
function isBlank(bytes: Buffer): boolean {
  return bytes.every((byte) => byte === 0)
}
