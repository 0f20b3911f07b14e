/** Checks a value against a schema and names the first fault by its path, with what is allowed. */
import { NettlespurError } from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'

/** Errors: `unknown-field` for a key the schema does not have, `invalid-field` for anything else. */
export function parseValue<T>(schema: z.ZodType<T>, value: unknown): Either<NettlespurError, T> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Right(parsed.data)
  return Left(toFieldError(parsed.error))
}

function toFieldError(error: z.ZodError): NettlespurError {
  const [issue] = error.issues
  if (issue === undefined) return new NettlespurError('invalid-field', error.message)
  const path = formatPath(issue.path)
  if (issue.code !== 'unrecognized_keys') {
    return new NettlespurError('invalid-field', `${path}: ${issue.message}`)
  }
  return new NettlespurError('unknown-field', `${path}: unknown field ${issue.keys.join(', ')}`, {
    hint: 'remove it or correct its spelling; units are part of a name',
  })
}

/** `limits.requestsPerSecond`, `guarantees[0].count`, or `body` for the whole value. */
export function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) return 'body'
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${String(step)}`))
    .join('')
    .replace(/^\./, '')
}
