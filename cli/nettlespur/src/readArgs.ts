/** Reads typed values from the texts of a command line. */
import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { createUsageError } from './usageError.js'

export interface ReadCountOptions {
  least?: number
}

/** A whole number. Errors: throws `invalid-usage`. */
export function readCount(option: string, text: string, opts: ReadCountOptions = {}): number {
  const least = opts.least ?? 0
  const value = Number(text)
  const isCount = /^\d+$/.test(text) && Number.isSafeInteger(value) && value >= least
  if (isCount) return value
  throw createUsageError(`${option} must be a whole number from ${least}, given "${text}"`)
}

/** Errors: throws `invalid-usage`. */
export function readNumber(option: string, text: string): number {
  const value = Number(text)
  if (/^\d+(\.\d+)?$/.test(text) && Number.isFinite(value)) return value
  throw createUsageError(`${option} must be a number from 0, given "${text}"`)
}

/** A value that a schema allows. Errors: throws `invalid-usage` with what is allowed. */
export function readAs<T>(option: string, schema: z.ZodType<T>, given: unknown): T {
  const parsed = schema.safeParse(given)
  if (parsed.success) return parsed.data
  const allowed = parsed.error.issues[0]?.message ?? 'not allowed'
  throw createUsageError(`${option}: ${allowed}, given ${JSON.stringify(given)}`)
}

/** Errors: throws `invalid-usage` where the file cannot be read. */
export function readFileOf(option: string, file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (cause) {
    throw createUsageError(`${option}: ${cause instanceof Error ? cause.message : String(cause)}`)
  }
}
