/** Errors for requests that the queue refuses. None of these requests has run. */
import { NettlespurError } from '@nettlespur/core.errors'

export function createDeadlineError(retryAfterMs: number): NettlespurError {
  const message = 'it could not start in time for its deadline'
  return new NettlespurError('deadline-before-start', message, { retryAfterMs })
}

export function createCancelledError(): NettlespurError {
  return new NettlespurError('cancelled-before-start', 'the caller went away')
}

export function createNoShareError(retryAfterMs: number): NettlespurError {
  const message = 'this entry has no share of the concurrent requests of this workspace'
  const hint = 'send it again: another entry has the share'
  return new NettlespurError('over-limit', message, { retryAfterMs, hint })
}
