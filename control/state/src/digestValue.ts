/** A digest that is equal for equal values, whatever the order of their fields. */
import { createHash } from 'node:crypto'

/** SHA-256 in hexadecimal digits. */
export function digestValue(value: unknown): string {
  return createHash('sha256').update(JSON.stringify(value, sortFields)).digest('hex')
}

function sortFields(_name: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  const fields = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1))
  return Object.fromEntries(fields)
}
