/** Commands and snapshots that a state machine keeps as JSON, checked when they are read back. */
import { NettlespurError } from '@nettlespur/core.errors'
import type { z } from 'zod'

/** `what` names it in the error. Errors: throws `storage-damaged`. */
export function readStoredJson<T>(schema: z.ZodType<T>, bytes: Buffer, what: string): T {
  const parsed = schema.safeParse(parseJson(bytes))
  if (parsed.success) return parsed.data
  throw new NettlespurError('storage-damaged', `${what} cannot be read: ${parsed.error.message}`)
}

/** Undefined where the bytes are no JSON, which no schema of a record allows. */
function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}
