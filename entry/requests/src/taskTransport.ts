/** Carries one attempt of a short request to its upstream. */
import type { Readable } from 'node:stream'
import type { NettlespurError } from '@nettlespur/core.errors'

/** One attempt under its fence. */
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
  /** Aborted when the answer is not waited for any more. */
  readonly givenUp: AbortSignal
}

/**
 * The answer of the attempt asked for: whole as a buffer, or a stream of `lengthBytes` that fails where it
 * ends early. A stream must be read or destroyed.
 */
export interface TaskAnswer {
  readonly status: number
  readonly contentType: string | undefined
  readonly body: Buffer | Readable
  readonly lengthBytes: number
}

/**
 * `not-sent`: no byte left. `refused`: the upstream says that it did not and will not run. `lost`: it may
 * have run, and its answer is not here whole.
 */
export type TaskOutcome =
  | { readonly kind: 'answered'; readonly answer: TaskAnswer }
  | { readonly kind: 'not-sent' | 'refused' | 'lost'; readonly error: NettlespurError }

export abstract class TaskTransport {
  abstract run(task: TaskRun): Promise<TaskOutcome>
}
