/**
 * Interface to the task protocol of upstreams, implemented by the HTTP client and by fakes in tests. After any error
 * other than `unreachable` and a refusal by the upstream, it is unknown whether the call took effect.
 */
import type { RenewLeases, ReserveTask, TaskStatus } from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

/** Identifies a task on an upstream, with the fencing token of its placement. */
export interface TaskReference {
  /** `IP:PORT` of the upstream. */
  readonly address: string
  readonly taskId: string
  readonly fence: number
}

/** A complete answer, with the content type that the upstream sent. */
export interface TypedAnswer {
  readonly contentType: string | undefined
  readonly body: Buffer
}

export abstract class UpstreamClient {
  /** Reserves a task on the upstream. Idempotent for the same fence. Errors: `fence-too-low`, `upstream-refused`. */
  abstract reserve(
    address: string,
    taskId: string,
    body: ReserveTask,
  ): EitherAsync<NettlespurError, TaskStatus>
  /** Starts a reserved task. Idempotent. Errors: `fence-too-low`, `upstream-refused` if the task is not reserved. */
  abstract start(task: TaskReference): EitherAsync<NettlespurError, TaskStatus>
  /** Takes a checkpoint and answers once it is complete; the status holds its id. */
  abstract checkpoint(task: TaskReference): EitherAsync<NettlespurError, TaskStatus>
  abstract throttle(task: TaskReference, cpuShare: number): EitherAsync<NettlespurError, TaskStatus>
  /**
   * Stops the task, by force after `graceMs`. Answers with its current state: `stopped`, `never-runs`, `finished`,
   * `failed`, or `running` if the stop takes longer.
   */
  abstract stop(
    task: TaskReference,
    opts: { jobId: string; graceMs: number },
  ): EitherAsync<NettlespurError, TaskStatus>
  /** Renews several leases on one upstream; answers with one status per lease, in the order of the request. */
  abstract renew(address: string, body: RenewLeases): EitherAsync<NettlespurError, TaskStatus[]>
  abstract getTask(address: string, taskId: string): EitherAsync<NettlespurError, TaskStatus>
  /** Reads the complete answer, after checking its length, task and fence. Can be repeated. */
  abstract getAnswer(task: TaskReference): EitherAsync<NettlespurError, Buffer>

  /** Like `getAnswer`, with the content type; undefined by default, for clients that do not know it. */
  getTypedAnswer(task: TaskReference): EitherAsync<NettlespurError, TypedAnswer> {
    return this.getAnswer(task).map((body) => ({ contentType: undefined, body }))
  }
}
