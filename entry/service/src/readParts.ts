/** Reads path parts, headers and query parameters of a request; each error names the part that is invalid. */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import type { HttpRequest } from '@nettlespur/net.server'
import type { z } from 'zod'

const integerPattern = /^\d{1,15}$/

/** Returns a part of the path, validated by the schema. Throws `invalid-field`. */
export function readParam<T>(request: HttpRequest, name: string, schema: z.ZodType<T>): T {
  return check(`path ${name}`, schema, request.param(name))
}

/** Returns a header, validated by the schema, or undefined if it is absent. Throws `invalid-field`. */
export function readHeader<T>(
  request: HttpRequest,
  name: string,
  schema: z.ZodType<T>,
): T | undefined {
  const text = request.header(name)
  return text === undefined ? undefined : check(`header ${name}`, schema, text)
}

/** Returns a required header. Throws `invalid-field` with `hint` if it is absent. */
export function requireHeader(request: HttpRequest, name: string, hint: string): string {
  const text = request.header(name)
  if (text !== undefined) return text
  throw new NettlespurError('invalid-field', `header ${name}: missing`, { hint })
}

/** Parses a non-negative integer; returns undefined if `text` is undefined. Throws `invalid-field`. */
export function readWholeNumber(what: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  if (integerPattern.test(text)) return Number(text)
  throw new NettlespurError('invalid-field', `${what}: must be a whole number, not ${quote(text)}`)
}

/** Returns a query parameter, or undefined if it is absent. */
export function readQuery(request: HttpRequest, name: string): string | undefined {
  return request.query.get(name) ?? undefined
}

function check<T>(what: string, schema: z.ZodType<T>, text: string): T {
  const parsed = parseValue(schema, text)
  if (parsed.isRight()) return parsed.extract()
  const error = toNettlespurError(parsed.extract())
  throw new NettlespurError('invalid-field', `${what}: ${error.message.replace(/^body: /, '')}`)
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, 40))
}
