/**
 * Calls control and retries for a few seconds, so that a change of its leader goes unnoticed. What a failure means depends
 * on the call: a read without an answer has changed nothing, but a change without an answer may have been applied, and the
 * error says so.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

/** `read` changes nothing. `idempotent` may be sent again. `once` must not be sent again if it may have arrived. */
export type CallEffect = 'read' | 'idempotent' | 'once'

const retryPeriodMs = 4000
const retryPauseMinMs = 50
const retryPauseMaxMs = 250
const retryAfterMs = 1000

/** Failures that may be due to a change of leader. */
const transientKinds: ReadonlySet<ErrorKind> = new Set([
  'outcome-unknown',
  'unreachable',
  'not-leader',
  'no-quorum',
])

export interface AskControlOptions {
  clock: Clock
  effect: CallEffect
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
}

/** Errors: throws control's own error, or after the last retry the one that describes all failed calls; see `chooseError`. */
export async function askControl<T>(
  opts: AskControlOptions,
  ask: () => EitherAsync<NettlespurError, T>,
): Promise<T> {
  const endMs = opts.clock.monotonicMs() + retryPeriodMs
  let unknown: NettlespurError | undefined
  for (;;) {
    const outcome = await ask().run()
    if (outcome.isRight()) return outcome.extract()
    const error = toNettlespurError(outcome.extract())
    if (error.kind === 'outcome-unknown') unknown = error
    const canRetry =
      transientKinds.has(error.kind) && (opts.effect !== 'once' || unknown === undefined)
    if (!canRetry || opts.clock.monotonicMs() >= endMs) {
      throw chooseError(opts.effect, error, unknown)
    }
    await opts.clock.sleep(choosePauseMs(opts.random ?? Math.random))
  }
}

/** Chooses the error to report: that of a change that may have been applied goes before the last one. */
function chooseError(
  effect: CallEffect,
  last: NettlespurError,
  unknown: NettlespurError | undefined,
): NettlespurError {
  if (!transientKinds.has(last.kind)) return last
  if (effect !== 'read' && unknown !== undefined) return unknown
  const kind = last.kind === 'outcome-unknown' ? 'unreachable' : last.kind
  return new NettlespurError(kind, last.message, { hint: last.hint, retryAfterMs, cause: last })
}

function choosePauseMs(random: () => number): number {
  return retryPauseMinMs + random() * (retryPauseMaxMs - retryPauseMinMs)
}
