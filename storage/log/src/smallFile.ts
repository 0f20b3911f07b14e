/**
 * Small files of one JSON value under a checksum: the disk identity and the hard state. A field of a newer version is
 * refused as damage is: a promise that it stands for would be broken unknowingly.
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

/** Rejects with `storage-damaged` where the file is not as written, or not as this version writes it. */
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
  const content = schema.safeParse(parseJson(envelope.data.value))
  if (!content.success) throw damagedError(file, 0, `other content: ${content.error.message}`)
  return content.data
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
