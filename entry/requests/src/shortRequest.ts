/** One short request as the router takes it, and the answer it gives. */
import type { TaskAnswer } from './taskTransport.js'

export interface ShortRequest {
  readonly workspace: string
  /** The caller's key for this request; undefined where it gave none. */
  readonly key: string | undefined
  /** False: the request is run at most once. */
  readonly repeatable: boolean
  /** When the caller stops waiting, on the clock's monotonic scale. */
  readonly deadlineAtMs: number
  readonly contentType: string | undefined
  readonly body: Buffer
  /** Aborted when the caller goes away. */
  readonly callerGone: AbortSignal
}

/** The upstream's own answer. A large one is a stream, which fails where it ends early. */
export interface ShortAnswer extends TaskAnswer {
  readonly taskId: string
  readonly attempt: number
  readonly upstreamId: string
}
