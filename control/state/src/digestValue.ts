/** Computes a digest of a JSON value that does not depend on the order of its fields. */
import { createHash } from 'node:crypto'

/** Returns the SHA-256 digest in hexadecimal. */
export function digestValue(value: unknown): string {
  return createHash('sha256').update(JSON.stringify(value, sortFields)).digest('hex')
}

function sortFields(_name: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  const fields = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1))
  return Object.fromEntries(fields)
}
