/** Limits of one call, in place of those of its client. */
import type { Operation } from '@trpc/client'

export interface CallLimits {
  /** Deadline of the call, in milliseconds; by default that of the client. */
  readonly timeoutMs?: number | undefined
  /**
   * After this long without an answer to this call or a later one, further calls go over a new connection.
   * The call itself waits on: its answer is taken also late, and other calls are left alone.
   */
  readonly silentAfterMs?: number | undefined
  /** Aborted when the answer is wanted no more. */
  readonly unwanted?: AbortSignal | undefined
}

const contextKey = 'callLimits'

/** Options for a procedure of a client. */
export function limitCall(limits: CallLimits): { context: Record<string, unknown> } {
  return { context: { [contextKey]: limits } }
}

export function readCallLimits({ context }: Operation): CallLimits {
  return (context[contextKey] as CallLimits | undefined) ?? {}
}
