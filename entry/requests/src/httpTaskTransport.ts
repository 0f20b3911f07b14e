/**
 * Carries attempts over HTTP on kept connections. A connection idle for longer than `connectionProvenMs`
 * is closed rather than used again, so no request leaves on one that went silent unnoticed.
 */
import http from 'node:http'
import { taskHeaders } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { callHttp, toAnswerError, type HttpAnswer } from '@nettlespur/http.client'
import { formatBearerKey } from '@nettlespur/http.keys'
import { TaskTransport, type TaskOutcome, type TaskRun } from './taskTransport.js'

/** What an upstream answers only before it runs anything. */
const refusals: ReadonlySet<ErrorKind> = new Set([
  'upstream-refused',
  'fence-too-low',
  'draining',
  'unauthorized',
])

export interface HttpTaskTransportOptions {
  clock: Clock
  /** Sent to upstreams; undefined where they need none. */
  upstreamKey?: string | undefined
  connectionsPerUpstream: number
  connectionProvenMs: number
  answerBytesMax: number
}

export class HttpTaskTransport extends TaskTransport {
  readonly #opts: HttpTaskTransportOptions
  readonly #agent: http.Agent

  constructor(opts: HttpTaskTransportOptions) {
    super()
    this.#opts = opts
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: opts.connectionsPerUpstream,
      timeout: opts.connectionProvenMs,
      scheduling: 'lifo',
    })
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    const received = await callHttp({
      clock: this.#opts.clock,
      address: task.address,
      method: 'POST',
      path: `/v1/tasks/${encodeURIComponent(task.taskId)}/run`,
      headers: this.#headers(task),
      body: task.body,
      timeoutMs: task.timeoutMs,
      signal: task.givenUp,
      agent: this.#agent,
      answerBytesMax: this.#opts.answerBytesMax,
    }).run()
    return received.caseOf<TaskOutcome>({
      Left: (error) => ({ kind: error.kind === 'unreachable' ? 'not-sent' : 'lost', error }),
      Right: (answer) => readOutcome(task, answer),
    })
  }

  close(): void {
    this.#agent.destroy()
  }

  #headers(task: TaskRun): Record<string, string> {
    const { upstreamKey } = this.#opts
    return {
      [taskHeaders.taskId]: task.taskId,
      [taskHeaders.attempt]: String(task.attempt),
      [taskHeaders.fence]: String(task.fence),
      [taskHeaders.workspace]: task.workspace,
      [taskHeaders.leaseMs]: String(Math.ceil(task.timeoutMs)),
      ...(task.key === undefined ? {} : { 'idempotency-key': task.key }),
      ...(task.contentType === undefined ? {} : { 'content-type': task.contentType }),
      ...(upstreamKey === undefined ? {} : { authorization: formatBearerKey(upstreamKey) }),
    }
  }
}

function readOutcome(task: TaskRun, received: HttpAnswer): TaskOutcome {
  const refusal = readRefusal(received)
  if (refusal !== undefined) return { kind: 'refused', error: refusal }
  const fault = findFault(task, received)
  if (fault !== undefined) {
    return { kind: 'lost', error: new NettlespurError('outcome-unknown', fault) }
  }
  const contentType = received.headers['content-type']
  return { kind: 'answered', answer: { status: received.status, contentType, body: received.body } }
}

function readRefusal(received: HttpAnswer): NettlespurError | undefined {
  if (received.status < 400) return undefined
  const error = toAnswerError(received)
  return refusals.has(error.kind) ? error : undefined
}

/** Why the answer is not the whole one of this attempt; undefined where it is. */
function findFault(task: TaskRun, received: HttpAnswer): string | undefined {
  const { headers } = received
  if (headers[taskHeaders.taskId] !== task.taskId) return 'the answer is of another task'
  if (headers[taskHeaders.attempt] !== String(task.attempt)) {
    return 'the answer is of another attempt'
  }
  if (headers['content-length'] !== String(received.body.length)) {
    return 'the answer does not state its whole length'
  }
  return undefined
}
