/**
 * Small files that hold one JSON value with a checksum: the disk identity and the hard state. An unknown field,
 * as a newer version may write it, is refused like damage: ignoring it could break a guarantee that it records.
 */
import path from 'node:path'
import { crc32 } from 'node:zlib'
import { z } from 'zod'
import type { FileSystem } from './fileSystem.js'
import { damagedError } from './storageErrors.js'
import { writeAside } from './writeAside.js'

export const diskIdFile = 'disk-id'
export const hardStateFile = 'hard-state'

export const diskIdSchema = z.strictObject({ diskId: z.string().min(1) })
export const hardStateSchema = z.strictObject({
  term: z.number().int().nonnegative(),
  votedFor: z.string().optional(),
})

const envelopeSchema = z.strictObject({ crc: z.number(), value: z.string() })

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

/** Rejects with `storage-damaged` if the checksum is wrong or the content does not match the schema. */
export async function readSmallFile<T>(
  files: FileSystem,
  folder: string,
  name: string,
  schema: z.ZodType<T>,
): Promise<T> {
  const file = path.join(folder, name)
  const bytes = await files.readFile(file)
  const envelope = envelopeSchema.safeParse(parseJson(bytes.toString()))
  if (!envelope.success) throw damagedError(file, 0, 'not valid JSON with a checksum')
  if (crc32(envelope.data.value) !== envelope.data.crc) throw damagedError(file, 0, 'bad checksum')
  const content = schema.safeParse(parseJson(envelope.data.value))
  if (!content.success) throw damagedError(file, 0, `unexpected content: ${content.error.message}`)
  return content.data
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
