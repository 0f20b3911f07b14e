/** Limits of a single call, which override the defaults of its client. */
import type { Operation } from '@trpc/client'

export interface CallLimits {
  /** Deadline of the call, in milliseconds. Default: that of the client. */
  readonly timeoutMs?: number | undefined
  /**
   * If neither this call nor a later one on its connection is answered within this time, subsequent calls use a
   * new connection. Calls in progress stay on the old one, and their late answers are still accepted.
   */
  readonly silentAfterMs?: number | undefined
  /** Aborted when the caller no longer needs the answer; the call then fails at once. */
  readonly unwanted?: AbortSignal | undefined
}

const contextKey = 'callLimits'

/** Returns the options to pass to a procedure of an RPC client so that `limits` apply to the call. */
export function limitCall(limits: CallLimits): { context: Record<string, unknown> } {
  return { context: { [contextKey]: limits } }
}

export function readCallLimits({ context }: Operation): CallLimits {
  return (context[contextKey] as CallLimits | undefined) ?? {}
}
