/**
 * The base class of every error the product raises or answers. Its kind decides the answer; its code is
 * stable for log searches; its hint tells the reader what to do next.
 */
import { errorAnswers, type ErrorAnswer } from './errorAnswers.js'
import type { ErrorKind } from './errorKind.js'

export interface NettlespurErrorOptions {
  /** What the reader can do about it. */
  hint?: string | undefined
  /** When coming back may help, in milliseconds. */
  retryAfterMs?: number | undefined
  cause?: unknown
}

export class NettlespurError extends Error {
  readonly kind: ErrorKind
  readonly hint: string | undefined
  readonly retryAfterMs: number | undefined

  constructor(kind: ErrorKind, message: string, opts: NettlespurErrorOptions = {}) {
    super(message, opts.cause === undefined ? undefined : { cause: opts.cause })
    this.name = 'NettlespurError'
    this.kind = kind
    this.hint = opts.hint
    this.retryAfterMs = opts.retryAfterMs
  }

  /** The stable upper-case code, such as `NETTLESPUR_STALE_REVISION`. */
  get code(): string {
    return `NETTLESPUR_${this.kind.toUpperCase().replaceAll('-', '_')}`
  }

  get answer(): ErrorAnswer {
    return errorAnswers[this.kind]
  }
}

/** Keeps a NettlespurError as it is and turns anything else into kind `internal`. */
export function toNettlespurError(thrown: unknown): NettlespurError {
  if (thrown instanceof NettlespurError) return thrown
  return new NettlespurError('internal', readMessage(thrown), { cause: thrown })
}

/** Events of failed connections are no instances of Error, but carry a message too. */
function readMessage(thrown: unknown): string {
  const hasMessage = typeof thrown === 'object' && thrown !== null && 'message' in thrown
  return hasMessage && typeof thrown.message === 'string' ? thrown.message : String(thrown)
}
