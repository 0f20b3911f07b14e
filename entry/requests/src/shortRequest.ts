import type { UpstreamView } from '@nettlespur/api.schemas'
import type { TaskAnswer } from './taskTransport.js'

/** A claim that must be committed before each attempt of a request is sent. */
export abstract class DispatchClaim {
  /** Resolves to the fencing token for the attempt. Rejects if the attempt must not be sent. */
  abstract commit(target: {
    upstream: UpstreamView
    taskId: string
    attempt: number
  }): Promise<number>
}

/** One short request as the router receives it. */
export interface ShortRequest {
  readonly workspace: string
  /** The caller's idempotency key; undefined if it gave none. */
  readonly key: string | undefined
  /** If false, the request runs at most once. */
  readonly repeatable: boolean
  /** When the caller stops waiting, on the clock's monotonic scale. */
  readonly deadlineAtMs: number
  readonly contentType: string | undefined
  readonly body: Buffer
  /** Aborted when the caller goes away. */
  readonly callerGone: AbortSignal
  /** Set if the request must not run twice. */
  readonly claim?: DispatchClaim | undefined
}

/** The upstream's answer. A large one is a stream, which fails if it ends early. */
export interface ShortAnswer extends TaskAnswer {
  readonly taskId: string
  readonly attempt: number
  readonly upstreamId: string
}
