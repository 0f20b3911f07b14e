/** Parses stored JSON, such as commands and snapshots, and validates it against a schema. */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import type { z } from 'zod'

/** Returns the first reason why the bytes are no JSON of this schema; undefined if they are. */
export function findStoredFault(schema: z.ZodType, bytes: Buffer): string | undefined {
  const fault = parseValue(schema, parseJson(bytes)).swap().toMaybe().extract()
  return fault?.message
}

/** `what` names the data in the error. Errors: throws `storage-damaged` if the bytes are invalid. */
export function readStoredJson<T>(schema: z.ZodType<T>, bytes: Buffer, what: string): T {
  const parsed = schema.safeParse(parseJson(bytes))
  if (parsed.success) return parsed.data
  throw new NettlespurError('storage-damaged', `${what} cannot be read: ${parsed.error.message}`)
}

/** Returns undefined, which no schema of stored data accepts, if the bytes are not JSON. */
function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}
