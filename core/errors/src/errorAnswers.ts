/**
 * The one table from error kind to answer: the HTTP status a caller gets, whether the work may have run,
 * the exit code of the command line, whether coming back later can help, and whether the process that got the
 * error calls again by itself.
 */
import type { ErrorKind } from './errorKind.js'

/** Whether the work that the failed call asked for has run. It says nothing of other calls for the same work. */
export type Ran = 'no' | 'unknown' | 'yes'

/** Exit codes of the command line. */
export const exitCodes = {
  done: 0,
  refused: 1,
  usage: 2,
  unknown: 3,
  unreachable: 4,
} as const

/** What a caller is told for one error kind. */
export interface ErrorAnswer {
  readonly httpStatus: number
  readonly ran: Ran
  readonly exitCode: number
  /** True where the same call may succeed later without being changed. */
  readonly retryable: boolean
  /**
   * True if another member may accept the same call now, or the same member after a change of leader: clients of a group of
   * members call again, as far as the call is idempotent.
   */
  readonly isTransient: boolean
}

const transient = (found: ErrorAnswer): ErrorAnswer => ({ ...found, isTransient: true })
const refused = (httpStatus: number): ErrorAnswer =>
  answer(httpStatus, 'no', exitCodes.refused, false)
const later = (httpStatus: number): ErrorAnswer => answer(httpStatus, 'no', exitCodes.refused, true)
const usage = (httpStatus: number): ErrorAnswer => answer(httpStatus, 'no', exitCodes.usage, false)
const ran = (httpStatus: number): ErrorAnswer => answer(httpStatus, 'yes', exitCodes.refused, false)
const unknown = (httpStatus: number): ErrorAnswer =>
  answer(httpStatus, 'unknown', exitCodes.unknown, false)

export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'malformed-json': refused(400),
  'malformed-yaml': usage(400),
  'unknown-field': refused(400),
  'invalid-field': refused(400),
  'body-too-large': refused(413),
  'headers-too-large': refused(431),
  unauthorized: refused(401),
  'unknown-workspace': refused(404),
  'unknown-job': refused(404),
  'unknown-upstream': refused(404),
  'unknown-member': refused(404),
  'unknown-route': refused(404),
  'unknown-data-centre': refused(404),
  'stale-revision': refused(412),
  // Another change came between the arrival of this one and its commit: sent again, it is judged anew.
  overtaken: answer(503, 'unknown', exitCodes.unknown, true),
  'change-id-conflict': refused(409),
  'idempotency-conflict': refused(409),
  'infeasible-contract': refused(422),
  'impossible-shape': refused(422),
  'over-limit': later(429),
  'queue-full': later(429),
  'deadline-before-start': later(504),
  'no-upstream': later(503),
  'upstream-refused': later(503),
  'no-config': later(503),
  'not-leader': transient(later(503)),
  'no-quorum': transient(later(503)),
  'contract-lease-expired': later(503),
  draining: transient(later(503)),
  'version-mismatch': transient(later(503)),
  'cancelled-before-start': refused(409),
  'cancelled-after-start': ran(409),
  'job-failed': ran(502),
  'upstream-failed': ran(502),
  'answer-expired': ran(410),
  'outcome-unknown': transient(unknown(504)),
  'fence-too-low': refused(409),
  'membership-refused': refused(409),
  'disk-full': transient(later(507)),
  'storage-damaged': transient(unknown(500)),
  'storage-failed': transient(unknown(500)),
  'invalid-settings': usage(400),
  'invalid-usage': usage(400),
  unreachable: transient(answer(503, 'no', exitCodes.unreachable, true)),
  internal: transient(unknown(500)),
}

function answer(httpStatus: number, ran: Ran, exitCode: number, retryable: boolean): ErrorAnswer {
  return { httpStatus, ran, exitCode, retryable, isTransient: false }
}
