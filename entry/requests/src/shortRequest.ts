import type { UpstreamView } from '@nettlespur/api.schemas'

/** What must be committed before an attempt of a request leaves this entry. */
export abstract class DispatchClaim {
  /** Resolves with the fence to send the attempt under. Rejects where it must not be sent. */
  abstract commit(target: {
    upstream: UpstreamView
    taskId: string
    attempt: number
  }): Promise<number>
}

/** One short request as the router takes it, and the whole answer it gives. */
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
  /** Given for each request that must not run twice. */
  readonly claim?: DispatchClaim | undefined
}

/** The upstream's own answer, whole. */
export interface ShortAnswer {
  readonly status: number
  readonly contentType: string | undefined
  readonly body: Buffer
  readonly taskId: string
  readonly attempt: number
  readonly upstreamId: string
}
