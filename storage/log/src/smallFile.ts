/** Small files of one JSON value under a checksum: the disk identity and the hard state. */
import path from 'node:path'
import { crc32 } from 'node:zlib'
import { z } from 'zod'
import type { FileSystem } from './fileSystem.js'
import { damagedError } from './storageErrors.js'
import { writeAside } from './writeAside.js'

export const diskIdFile = 'disk-id'
export const hardStateFile = 'hard-state'

export const diskIdSchema = z.object({ diskId: z.string().min(1) })
export const hardStateSchema = z.object({
  term: z.number().int().nonnegative(),
  votedFor: z.string().optional(),
})

const envelopeSchema = z.object({ crc: z.number(), value: z.string() })

export function writeSmallFile(
  files: FileSystem,
  folder: string,
  name: string,
  value: unknown,
): Promise<void> {
  const text = JSON.stringify(value)
  const envelope = { crc: crc32(text), value: text }
  return writeAside(files, path.join(folder, name), Buffer.from(JSON.stringify(envelope)))
}

/** Rejects with `storage-damaged` where the file is not as written. */
export async function readSmallFile<T>(
  files: FileSystem,
  folder: string,
  name: string,
  schema: z.ZodType<T>,
): Promise<T> {
  const file = path.join(folder, name)
  const bytes = await files.readFile(file)
  const envelope = envelopeSchema.safeParse(parseJson(bytes.toString()))
  if (!envelope.success) throw damagedError(file, 0, 'not readable')
  if (crc32(envelope.data.value) !== envelope.data.crc) throw damagedError(file, 0, 'bad checksum')
  return schema.parse(parseJson(envelope.data.value))
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
