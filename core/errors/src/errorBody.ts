/** The JSON form of an error between processes: `{kind, message, ran, retryAfterMs?, hint?}`. */
import { z } from 'zod'
import { errorKindSchema } from './errorKind.js'
import { NettlespurError } from './nettlespurError.js'

export const errorBodySchema = z.object({
  kind: errorKindSchema,
  message: z.string(),
  ran: z.enum(['no', 'unknown', 'yes']),
  retryAfterMs: z.number().nonnegative().optional(),
  hint: z.string().optional(),
})

export type ErrorBody = z.infer<typeof errorBodySchema>

export function toErrorBody(error: NettlespurError): ErrorBody {
  const body: ErrorBody = { kind: error.kind, message: error.message, ran: error.answer.ran }
  if (error.retryAfterMs !== undefined) body.retryAfterMs = error.retryAfterMs
  if (error.hint !== undefined) body.hint = error.hint
  return body
}

export function fromErrorBody(body: ErrorBody): NettlespurError {
  return new NettlespurError(body.kind, body.message, {
    hint: body.hint,
    retryAfterMs: body.retryAfterMs,
  })
}
