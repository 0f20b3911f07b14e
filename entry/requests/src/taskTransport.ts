/** Sends one attempt of a short request to its upstream. */
import type { Readable } from 'node:stream'
import type { NettlespurError } from '@nettlespur/core.errors'

/** One attempt and its fencing token. */
export interface TaskRun {
  readonly upstreamId: string
  readonly address: string
  readonly taskId: string
  readonly attempt: number
  readonly fence: number
  readonly workspace: string
  readonly repeatable: boolean
  readonly key: string | undefined
  readonly contentType: string | undefined
  readonly body: Buffer
  readonly timeoutMs: number
  /** Aborted when the entry no longer waits for the answer. */
  readonly givenUp: AbortSignal
}

/**
 * The answer to an attempt. The body is a buffer, or a stream of `lengthBytes` that fails if it ends early. A
 * stream must be read or destroyed.
 */
export interface TaskAnswer {
  readonly status: number
  readonly contentType: string | undefined
  readonly body: Buffer | Readable
  readonly lengthBytes: number
}

/**
 * `not-sent`: no byte was sent. `refused`: the upstream says that the attempt did not and will not run.
 * `lost`: the attempt may have run, and its whole answer did not arrive.
 */
export type TaskOutcome =
  | { readonly kind: 'answered'; readonly answer: TaskAnswer }
  | { readonly kind: 'not-sent' | 'refused' | 'lost'; readonly error: NettlespurError }

export abstract class TaskTransport {
  abstract run(task: TaskRun): Promise<TaskOutcome>
}
