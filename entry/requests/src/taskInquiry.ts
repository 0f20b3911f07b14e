/**
 * Asks an upstream, each time on a new connection, how a task stands whose answer did not come, and collects
 * the answer where there is one.
 */
import http from 'node:http'
import { taskStatusSchema, type TaskState } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { callHttp, openHttp } from '@nettlespur/net.client'
import { expectFence, readAnswer } from './readAnswer.js'
import type { TaskOutcome, TaskRun } from './taskTransport.js'

/** A question that gets no answer in this time has failed. */
const inquiryTimeoutMs = 1000
const statusBytesMax = 65_536
/** Node's own default agent would keep connections and use them again. */
const newConnections = new http.Agent({ keepAlive: false })

export interface TaskInquiryOptions {
  clock: Clock
  headers: Readonly<Record<string, string>>
  answerBytesMax: number
  task: TaskRun
  /** A task that the upstream had answered before this one was sent. */
  witnessTaskId: string | undefined
  /** When nobody waits for the answer any more, on the clock's monotonic scale. */
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

  /** Undefined where the upstream did not say. */
  askState(): Promise<TaskState | undefined> {
    return this.#ask('GET', '')
  }

  /** False where the upstream may have restarted since, and so have run what it no longer knows. */
  async hasKeptTasks(): Promise<boolean> {
    const { witnessTaskId } = this.#opts
    if (witnessTaskId === undefined) return false
    const state = await this.#ask('GET', '', undefined, witnessTaskId)
    return state !== undefined && state !== 'unknown'
  }

  /**
   * Makes sure that a task which its upstream has never seen will not run: the call may still be under
   * way on the old connection. One that started meanwhile is stopped.
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
