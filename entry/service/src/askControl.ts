/**
 * Calls control and retries for a few seconds, so that a change of its leader goes unnoticed. What a failure means depends
 * on the call: a read without an answer has changed nothing, but a change without an answer may have been applied, and the
 * error says so.
 */
import type { Clock } from '@nettlespur/core.clock'
import {
  AttemptHistory,
  NettlespurError,
  toNettlespurError,
  type ErrorKind,
} from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

/** `read` changes nothing. `idempotent` may be sent again. `once` must not be sent again if it may have arrived. */
export type CallEffect = 'read' | 'idempotent' | 'once'

const retryPeriodMs = 4000
const retryPauseMinMs = 50
const retryPauseMaxMs = 250
const retryAfterMs = 1000

export interface AskControlOptions {
  clock: Clock
  effect: CallEffect
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
}

/** Errors: throws control's own error, or after the last retry the one that describes all failed calls. */
export async function askControl<T>(
  opts: AskControlOptions,
  ask: () => EitherAsync<NettlespurError, T>,
): Promise<T> {
  const endMs = opts.clock.monotonicMs() + retryPeriodMs
  const history = new AttemptHistory()
  for (;;) {
    const outcome = await ask().run()
    if (outcome.isRight()) return outcome.extract()
    const error = toNettlespurError(outcome.extract())
    history.record(error)
    const canRetry = error.answer.isTransient && (opts.effect !== 'once' || !history.mayHaveRun)
    if (!canRetry || opts.clock.monotonicMs() >= endMs) {
      throw opts.effect === 'read' ? toReadError(error) : toChangeError(history.summarize(error))
    }
    await opts.clock.sleep(choosePauseMs(opts.random ?? Math.random))
  }
}

/** A read that got no answer has changed nothing. */
function toReadError(last: NettlespurError): NettlespurError {
  if (!last.answer.isTransient) return last
  const kind = last.kind === 'outcome-unknown' ? 'unreachable' : last.kind
  return withRetryDelay(kind, last)
}

function toChangeError(error: NettlespurError): NettlespurError {
  const { isTransient, ran } = error.answer
  return isTransient && ran === 'no' ? withRetryDelay(error.kind, error) : error
}

function withRetryDelay(kind: ErrorKind, cause: NettlespurError): NettlespurError {
  return new NettlespurError(kind, cause.message, { hint: cause.hint, retryAfterMs, cause })
}

function choosePauseMs(random: () => number): number {
  return retryPauseMinMs + random() * (retryPauseMaxMs - retryPauseMinMs)
}
