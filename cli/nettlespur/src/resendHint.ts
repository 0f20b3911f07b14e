/** Tells how the same work is asked for again where its outcome is not known. */
import { NettlespurError, toNettlespurError } from '@nettlespur/core.errors'

/** What was thrown, with `hint` in place of its own where the outcome is unknown. */
export function addResendHint(thrown: unknown, hint: string): NettlespurError {
  const error = toNettlespurError(thrown)
  if (error.answer.ran !== 'unknown') return error
  const { kind, message, retryAfterMs } = error
  return new NettlespurError(kind, message, { hint, retryAfterMs, cause: error })
}
