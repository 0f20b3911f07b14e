/**
 * Calls control with patience for a change of its leader. What a failure means depends on the call: a
 * read that got no answer has changed nothing; a change that may have been taken is told as such.
 */
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, toNettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

/** `read` changes nothing, `idempotent` may be sent again, `once` may not be once it may have arrived. */
export type CallEffect = 'read' | 'idempotent' | 'once'

const patienceMs = 4000
const shortestPauseMs = 50
const longestPauseMs = 250
const retryAfterMs = 1000

/** Failures that a change of leader explains. */
const transient: ReadonlySet<ErrorKind> = new Set([
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

/** Throws control's own error, or what the failures add up to for this kind of call. */
export async function askControl<T>(
  opts: AskControlOptions,
  ask: () => EitherAsync<NettlespurError, T>,
): Promise<T> {
  const endMs = opts.clock.monotonicMs() + patienceMs
  let unknown: NettlespurError | undefined
  for (;;) {
    const outcome = await ask().run()
    if (outcome.isRight()) return outcome.extract()
    const error = toNettlespurError(outcome.extract())
    if (error.kind === 'outcome-unknown') unknown = error
    const mayAskAgain =
      transient.has(error.kind) && (opts.effect !== 'once' || unknown === undefined)
    if (!mayAskAgain || opts.clock.monotonicMs() >= endMs) {
      throw chooseError(opts.effect, error, unknown)
    }
    await opts.clock.sleep(choosePauseMs(opts.random ?? Math.random))
  }
}

function chooseError(
  effect: CallEffect,
  last: NettlespurError,
  unknown: NettlespurError | undefined,
): NettlespurError {
  if (!transient.has(last.kind)) return last
  if (effect !== 'read' && unknown !== undefined) return unknown
  const kind = last.kind === 'outcome-unknown' ? 'unreachable' : last.kind
  return new NettlespurError(kind, last.message, { hint: last.hint, retryAfterMs, cause: last })
}

function choosePauseMs(random: () => number): number {
  return shortestPauseMs + random() * (longestPauseMs - shortestPauseMs)
}
