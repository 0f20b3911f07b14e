/**
 * Queries an upstream for the state of a task whose answer did not arrive, each time on a new connection, and
 * collects the answer if there is one.
 */
import http from 'node:http'
import { taskStatusSchema, type TaskState } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { callHttp, openHttp } from '@nettlespur/net.client'
import { expectFence, readAnswer } from './readAnswer.js'
import type { TaskOutcome, TaskRun } from './taskTransport.js'

const inquiryTimeoutMs = 1000
const statusBytesMax = 65_536
/** Node's default agent would reuse connections. */
const newConnections = new http.Agent({ keepAlive: false })

export interface TaskInquiryOptions {
  clock: Clock
  headers: Readonly<Record<string, string>>
  answerBytesMax: number
  task: TaskRun
  /** A task that the upstream answered before this one was sent; undefined if there is none. */
  witnessTaskId: string | undefined
  /** When the caller stops waiting, on the clock's monotonic scale. */
  deadlineAtMs: number
}

export class TaskInquiry {
  readonly #opts: TaskInquiryOptions

  constructor(opts: TaskInquiryOptions) {
    this.#opts = opts
  }

  get isPastDeadline(): boolean {
    return this.#opts.clock.monotonicMs() >= this.#opts.deadlineAtMs
  }

  /** Resolves to undefined if the upstream did not report a state. */
  askState(): Promise<TaskState | undefined> {
    return this.#ask('GET', '')
  }

  /** Resolves to false if the upstream may have restarted, and so may have run a task that it no longer knows. */
  async hasKeptTasks(): Promise<boolean> {
    const { witnessTaskId } = this.#opts
    if (witnessTaskId === undefined) return false
    const state = await this.#ask('GET', '', undefined, witnessTaskId)
    return state !== undefined && state !== 'unknown'
  }

  /**
   * Forbids the upstream to run a task that it has not received: the call may still be in transit on the old
   * connection. Stops the task if it has started meanwhile.
   */
  forbidStart(): Promise<TaskState | undefined> {
    const { taskId, fence } = this.#opts.task
    return this.#ask('POST', '/stop', JSON.stringify({ fence, jobId: taskId, graceMs: 0 }))
  }

  async collectAnswer(): Promise<TaskOutcome> {
    const { task, answerBytesMax } = this.#opts
    const call = { ...this.#call('GET', '/answer'), timeoutMs: this.#remainingMs() }
    const opened = await openHttp({ ...call, signal: task.givenUp }).run()
    return opened.caseOf<Promise<TaskOutcome>>({
      Left: (error) => Promise.resolve({ kind: 'lost', error }),
      Right: (answer) => readAnswer(answer, { answerBytesMax, expected: expectFence(task) }),
    })
  }

  async #ask(
    method: string,
    part: string,
    body?: string,
    taskId = this.#opts.task.taskId,
  ): Promise<TaskState | undefined> {
    const call = this.#call(method, part, taskId)
    const timeoutMs = Math.min(inquiryTimeoutMs, this.#remainingMs())
    const answer = await callHttp({
      ...call,
      ...(body === undefined ? {} : { body }),
      timeoutMs,
      answerBytesMax: statusBytesMax,
    }).run()
    return answer.caseOf({
      Left: () => undefined,
      Right: (received) => readState(received.body, taskId),
    })
  }

  #call(method: string, part: string, taskId = this.#opts.task.taskId) {
    const { clock, headers, task } = this.#opts
    const path = `/v1/tasks/${encodeURIComponent(taskId)}${part}`
    return { clock, address: task.address, method, path, headers, agent: newConnections }
  }

  #remainingMs(): number {
    return Math.max(1, this.#opts.deadlineAtMs - this.#opts.clock.monotonicMs())
  }
}

function readState(body: Buffer, taskId: string): TaskState | undefined {
  try {
    const status = taskStatusSchema.safeParse(JSON.parse(body.toString('utf8')))
    return status.success && status.data.taskId === taskId ? status.data.state : undefined
  } catch {
    return undefined
  }
}
