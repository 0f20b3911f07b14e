/**
 * Calls to upstreams by the task protocol. The HTTP client implements it; tests give fakes. Every error
 * other than `unreachable` and the upstream's own refusal leaves open whether the call took effect.
 */
import type { RenewLeases, ReserveTask, TaskStatus } from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

/** One task on one upstream, under the fence of its placement. */
export interface TaskReference {
  /** `IP:PORT` of the upstream. */
  readonly address: string
  readonly taskId: string
  readonly fence: number
}

/** A whole answer, with the type the upstream gave it. */
export interface TypedAnswer {
  readonly contentType: string | undefined
  readonly body: Buffer
}

export abstract class UpstreamClient {
  /** Idempotent for the same fence. Errors: `fence-too-low`, `upstream-refused`. */
  abstract reserve(
    address: string,
    taskId: string,
    body: ReserveTask,
  ): EitherAsync<NettlespurError, TaskStatus>
  /** Idempotent. Errors: `fence-too-low`, `upstream-refused` where the task is not reserved. */
  abstract start(task: TaskReference): EitherAsync<NettlespurError, TaskStatus>
  /** Answers once the checkpoint is whole; its id is in the status. */
  abstract checkpoint(task: TaskReference): EitherAsync<NettlespurError, TaskStatus>
  abstract throttle(task: TaskReference, cpuShare: number): EitherAsync<NettlespurError, TaskStatus>
  /**
   * Stops the task, after `graceMs` by force. Answers with the state it is in now: `stopped`,
   * `never-runs`, `finished`, `failed`, or still `running` where the stop takes longer.
   */
  abstract stop(
    task: TaskReference,
    opts: { jobId: string; graceMs: number },
  ): EitherAsync<NettlespurError, TaskStatus>
  /** Renews many leases of one upstream; the answer has one status for each, in order. */
  abstract renew(address: string, body: RenewLeases): EitherAsync<NettlespurError, TaskStatus[]>
  abstract getTask(address: string, taskId: string): EitherAsync<NettlespurError, TaskStatus>
  /** The whole answer, checked for its length, task and fence. Repeatable. */
  abstract getAnswer(task: TaskReference): EitherAsync<NettlespurError, Buffer>

  /** As `getAnswer`, with its content type where the client learns of it. */
  getTypedAnswer(task: TaskReference): EitherAsync<NettlespurError, TypedAnswer> {
    return this.getAnswer(task).map((body) => ({ contentType: undefined, body }))
  }
}
