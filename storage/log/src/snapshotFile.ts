/**
 * Encoding of a snapshot as one file with one checksum. The file name contains the generation of the segments that
 * continue the snapshot.
 *
 * Layout: magic (8 bytes), header length (4), header as JSON, data, CRC-32 of all before (4).
 */
import { crc32 } from 'node:zlib'
import { z } from 'zod'
import type { Snapshot } from './logStore.js'

const magic = Buffer.from('NSPSNP01')
const headOffset = magic.length + 4
const crcBytes = 4
const namePattern = /^snapshot-(\d{8})-(\d{15})\.snap$/

const headSchema = z.strictObject({
  generation: z.number().int().nonnegative(),
  /** True for a snapshot installed from a leader: no segment of its generation is older than it. */
  installed: z.boolean(),
  index: z.number().int().nonnegative(),
  term: z.number().int().nonnegative(),
  membership: z.unknown(),
})

export interface SnapshotId {
  readonly generation: number
  readonly index: number
}

export interface StoredSnapshot extends Snapshot {
  readonly generation: number
  readonly installed: boolean
}

export function nameSnapshot(id: SnapshotId): string {
  const generation = String(id.generation).padStart(8, '0')
  return `snapshot-${generation}-${String(id.index).padStart(15, '0')}.snap`
}

export function parseSnapshotName(name: string): SnapshotId | undefined {
  const match = namePattern.exec(name)
  if (match === null) return undefined
  const [generation = 0, index = 0] = match.slice(1).map(Number)
  return { generation, index }
}

export function encodeSnapshot(snapshot: StoredSnapshot): Buffer {
  const { generation, installed, meta, data } = snapshot
  const head = Buffer.from(JSON.stringify({ generation, installed, ...meta }))
  const lengths = Buffer.alloc(4)
  lengths.writeUInt32BE(head.length)
  const crc = Buffer.alloc(crcBytes)
  const parts = [magic, lengths, head, data]
  crc.writeUInt32BE(parts.reduce((sum, part) => crc32(part, sum), 0))
  return Buffer.concat([...parts, crc])
}

/** Returns undefined if the file is damaged, does not match `id`, or has a header that this version cannot parse. */
export function decodeSnapshot(bytes: Buffer, id: SnapshotId): StoredSnapshot | undefined {
  const crcOffset = bytes.length - crcBytes
  if (crcOffset < headOffset || !bytes.subarray(0, magic.length).equals(magic)) return undefined
  if (crc32(bytes.subarray(0, crcOffset)) !== bytes.readUInt32BE(crcOffset)) return undefined
  const dataOffset = headOffset + bytes.readUInt32BE(magic.length)
  const head = decodeHead(bytes.subarray(headOffset, dataOffset))
  if (head === undefined) return undefined
  if (head.generation !== id.generation || head.index !== id.index) return undefined
  const { generation, installed, index, term, membership } = head
  const data = bytes.subarray(dataOffset, crcOffset)
  return { generation, installed, meta: { index, term, membership }, data }
}

function decodeHead(bytes: Buffer): z.infer<typeof headSchema> | undefined {
  try {
    return headSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data
  } catch {
    return undefined
  }
}
