/** Parses stored JSON, such as commands and snapshots, and validates it against a schema. */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, unwrapEither } from '@nettlespur/core.errors'
import type { z } from 'zod'

/** `what` names the data in the error. Errors: throws `storage-damaged`, with the first fault, if the bytes are invalid. */
export function readStoredJson<T>(schema: z.ZodType<T>, bytes: Buffer, what: string): T {
  const toDamaged = ({ message }: NettlespurError): NettlespurError =>
    new NettlespurError('storage-damaged', `${what} cannot be read: ${message}`)
  return unwrapEither(parseValue(schema, parseJson(bytes)).mapLeft(toDamaged))
}

/** Returns undefined, which no schema of stored data accepts, if the bytes are not JSON. */
function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}
