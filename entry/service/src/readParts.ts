/** Reads headers and query parameters of a request, naming each fault. */
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'
import type { HttpRequest } from '@nettlespur/net.server'
import type { z } from 'zod'

const wholeNumber = /^\d{1,15}$/

/** A part of the path checked by its schema. Throws `invalid-field`. */
export function readParam<T>(request: HttpRequest, name: string, schema: z.ZodType<T>): T {
  return check(`path ${name}`, schema, request.param(name))
}

/** A header checked by its schema; undefined where it is absent. Throws `invalid-field`. */
export function readHeader<T>(
  request: HttpRequest,
  name: string,
  schema: z.ZodType<T>,
): T | undefined {
  const text = request.header(name)
  return text === undefined ? undefined : check(`header ${name}`, schema, text)
}

/** A header that must be there. Throws `invalid-field` with `hint`. */
export function requireHeader(request: HttpRequest, name: string, hint: string): string {
  const text = request.header(name)
  if (text !== undefined) return text
  throw new NettlespurError('invalid-field', `header ${name}: missing`, { hint })
}

/** A non-negative whole number; undefined where the text is. Throws `invalid-field`. */
export function readWholeNumber(what: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  if (wholeNumber.test(text)) return Number(text)
  throw new NettlespurError('invalid-field', `${what}: must be a whole number, not ${quote(text)}`)
}

/** A query parameter; undefined where it is absent. */
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
