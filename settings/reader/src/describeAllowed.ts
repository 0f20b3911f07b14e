/** Says in words what a schema allows, from its JSON Schema form. */
import type { z } from 'zod'

export type JsonSchema = z.core.JSONSchema.BaseSchema

/** The schema of what stands at a path; undefined where the schema knows no such path. */
export function findSchema(root: JsonSchema, path: readonly PropertyKey[]): JsonSchema | undefined {
  let schema: JsonSchema | undefined = root
  for (const step of path) schema = schema === undefined ? undefined : findChild(schema, step)
  return schema
}

export function listKnownKeys(schema: JsonSchema | undefined): string[] {
  return Object.keys(schema?.properties ?? {})
}

/** Undefined where nothing can be said. */
export function describeAllowed(schema: JsonSchema | undefined): string | undefined {
  if (schema === undefined) return undefined
  if (schema.description !== undefined) return schema.description
  if (schema.enum !== undefined) return schema.enum.map((value) => JSON.stringify(value)).join(', ')
  switch (schema.type) {
    case 'integer':
      return `a whole number${describeRange(schema)}`
    case 'number':
      return `a number${describeRange(schema)}`
    case 'string':
      return `a text${describeLength(schema.minLength, schema.maxLength, 'characters')}`
    case 'boolean':
      return 'true or false'
    case 'array':
      return `a list${describeLength(schema.minItems, schema.maxItems, 'items')}`
    case 'object':
      return describeMapping(listKnownKeys(schema))
    default:
      return undefined
  }
}

function describeMapping(keys: readonly string[]): string {
  return keys.length === 0 ? 'a mapping' : `a mapping with the keys ${keys.join(', ')}`
}

function findChild(schema: JsonSchema, step: PropertyKey): JsonSchema | undefined {
  const { items, properties } = schema
  const child = typeof step === 'number' ? items : properties?.[String(step)]
  return typeof child === 'object' && !Array.isArray(child) ? child : undefined
}

function describeRange(schema: JsonSchema): string {
  const bounds = [
    describeBound('above', schema.exclusiveMinimum),
    describeBound('from', schema.minimum),
    describeBound('below', schema.exclusiveMaximum),
    describeBound('to', schema.maximum),
  ]
  return bounds.join('')
}

/** Bounds that only say which numbers are exact are left out. */
function describeBound(word: string, bound: number | boolean | undefined): string {
  const isTold = typeof bound === 'number' && Math.abs(bound) < Number.MAX_SAFE_INTEGER
  return isTold ? ` ${word} ${bound}` : ''
}

function describeLength(least: number | undefined, most: number | undefined, unit: string): string {
  const from = least === undefined ? '' : ` at least ${least}`
  const to = most === undefined ? '' : ` at most ${most}`
  if (from === '' && to === '') return ''
  if (least === 1 && most === undefined) return ' that is not empty'
  return ` of${[from, to].filter((part) => part !== '').join(' and')} ${unit}`
}
