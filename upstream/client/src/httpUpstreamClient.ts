/**
 * Calls upstreams over HTTP, with keep-alive connections and a deadline on each call. When a call times out, the
 * pool of its address is retired, since its connections may be dead, and the next call opens a new connection.
 */
import { setMaxListeners } from 'node:events'
import {
  leasesAnswerSchema,
  taskStatusSchema,
  type RenewLeases,
  type ReserveTask,
  type TaskStatus,
} from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import { callHttp, callJson, type CallHttpOptions } from '@nettlespur/net.client'
import { formatBearerKey } from '@nettlespur/net.keys'
import { EitherAsync } from 'purify-ts'
import { ConnectionPools } from './connectionPools.js'
import { readWholeAnswer } from './readWholeAnswer.js'
import { UpstreamClient, type TaskReference, type TypedAnswer } from './upstreamClient.js'

const defaultTimeoutMs = 3000
const defaultConnectionsMax = 8
const defaultIdleMsMax = 2000
const defaultAnswerBytesMax = 67_108_864

export interface HttpUpstreamClientOptions {
  clock: Clock
  /** Deadline of each call, in milliseconds. */
  timeoutMs?: number
  /** Maximum number of connections open to one upstream at a time. */
  connectionsPerUpstream?: number
  /** An idle connection is closed after this time, in milliseconds. */
  idleMsMax?: number
  answerBytesMax?: number
  /** Bearer key sent to upstreams. */
  key?: string | undefined
  /** Certificate of the CA that signed the upstreams' certificates. Calls use TLS if it is set. */
  ca?: Buffer | undefined
}

export class HttpUpstreamClient extends UpstreamClient {
  readonly #opts: HttpUpstreamClientOptions
  readonly #pools: ConnectionPools
  readonly #closing = new AbortController()

  constructor(opts: HttpUpstreamClientOptions) {
    super()
    this.#opts = opts
    this.#pools = new ConnectionPools({
      connectionsMax: opts.connectionsPerUpstream ?? defaultConnectionsMax,
      idleMsMax: opts.idleMsMax ?? defaultIdleMsMax,
      tls: opts.ca !== undefined,
    })
    setMaxListeners(0, this.#closing.signal)
  }

  override reserve(
    address: string,
    taskId: string,
    body: ReserveTask,
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#requestStatus(address, 'PUT', taskPath(taskId), body)
  }

  override start(task: TaskReference): EitherAsync<NettlespurError, TaskStatus> {
    return this.#post(task, 'start', { fence: task.fence })
  }

  override checkpoint(task: TaskReference): EitherAsync<NettlespurError, TaskStatus> {
    return this.#post(task, 'checkpoint', { fence: task.fence })
  }

  override throttle(
    task: TaskReference,
    cpuShare: number,
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#post(task, 'throttle', { fence: task.fence, cpuShare })
  }

  override stop(
    task: TaskReference,
    opts: { jobId: string; graceMs: number },
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#post(task, 'stop', { fence: task.fence, ...opts })
  }

  override renew(address: string, body: RenewLeases): EitherAsync<NettlespurError, TaskStatus[]> {
    const call = this.#createCallOptions(address, 'POST', '/v1/leases')
    return callJson({ ...call, json: body, answer: leasesAnswerSchema }).map(({ tasks }) => tasks)
  }

  override getTask(address: string, taskId: string): EitherAsync<NettlespurError, TaskStatus> {
    return this.#requestStatus(address, 'GET', taskPath(taskId))
  }

  override getAnswer(task: TaskReference): EitherAsync<NettlespurError, Buffer> {
    return this.getTypedAnswer(task).map(({ body }) => body)
  }

  override getTypedAnswer(task: TaskReference): EitherAsync<NettlespurError, TypedAnswer> {
    const call = this.#createCallOptions(task.address, 'GET', `${taskPath(task.taskId)}/answer`)
    const answerBytesMax = this.#opts.answerBytesMax ?? defaultAnswerBytesMax
    return callHttp({ ...call, answerBytesMax }).chain((answer) => {
      const contentType = answer.headers['content-type']
      const whole = readWholeAnswer(answer, task).map((body) => ({ contentType, body }))
      return EitherAsync.liftEither(whole)
    })
  }

  /** Aborts the calls in progress and closes the connections. */
  close(): void {
    this.#closing.abort()
    this.#pools.destroyAll()
  }

  #post(
    task: TaskReference,
    verb: string,
    json: unknown,
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#requestStatus(task.address, 'POST', `${taskPath(task.taskId)}/${verb}`, json)
  }

  #requestStatus(
    address: string,
    method: string,
    path: string,
    json?: unknown,
  ): EitherAsync<NettlespurError, TaskStatus> {
    return callJson({
      ...this.#createCallOptions(address, method, path),
      json,
      answer: taskStatusSchema,
    })
  }

  #createCallOptions(address: string, method: string, path: string): CallHttpOptions {
    const { clock, key, ca } = this.#opts
    const pool = this.#pools.get(address)
    return {
      clock,
      address,
      method,
      path,
      ca,
      agent: pool.agent,
      timeoutMs: this.#opts.timeoutMs ?? defaultTimeoutMs,
      signal: this.#closing.signal,
      onTimeout: () => {
        this.#pools.retire(address, pool)
      },
      ...(key === undefined ? {} : { headers: { authorization: formatBearerKey(key) } }),
    }
  }
}

function taskPath(taskId: string): string {
  return `/v1/tasks/${encodeURIComponent(taskId)}`
}
