/**
 * Sends attempts over HTTP on keep-alive connections. If no answer arrives within `connectionProvenMs`, or
 * half of the timeout if that is shorter, the transport polls the task's state on new connections, at growing
 * intervals. If the upstream has ended the task, or never received it, the first connection was silent: it is
 * cut, and the other connections of its pool are retired. If an answer is cut short, the state is polled too
 * before the attempt counts as lost.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import { taskHeaders, type TaskState } from '@nettlespur/api.schemas'
import { openHttp, type StreamedAnswer } from '@nettlespur/net.client'
import { formatBearerKey } from '@nettlespur/net.keys'
import type { Either } from 'purify-ts'
import { expectAttempt, readAnswer } from './readAnswer.js'
import { createLostOutcome, createNeverRunsOutcome } from './lostOutcome.js'
import { TaskInquiry } from './taskInquiry.js'
import { TaskTransport, type TaskOutcome, type TaskRun } from './taskTransport.js'
import { UpstreamPools } from './upstreamPools.js'

/** Shared, as creating an error for each request would capture a stack trace each time. */
const settledReason = new Error('the first connection answered or failed')
const longestPollIntervalMs = 15_000
const pollIntervalGrowth = 2
/** Interval between polls of a task whose connection was cut while it ran. */
const followUpIntervalMs = 100

export interface HttpTaskTransportOptions {
  clock: Clock
  /** Bearer key sent to upstreams; undefined if they need none. */
  upstreamKey?: string | undefined
  /** Maximum open connections to one upstream; a function is called for each request. */
  connectionsPerUpstream: number | (() => number)
  connectionProvenMs: number
  answerBytesMax: number
}

/** States of a task that ended without an answer. */
const endedStates: ReadonlySet<TaskState> = new Set(['failed', 'stopped', 'lease-expired'])

type Opened = Either<NettlespurError, StreamedAnswer>

export class HttpTaskTransport extends TaskTransport {
  readonly #opts: HttpTaskTransportOptions
  readonly #pools: UpstreamPools

  constructor(opts: HttpTaskTransportOptions) {
    super()
    this.#opts = opts
    const { clock, connectionProvenMs, connectionsPerUpstream: most } = opts
    const connectionsMax = typeof most === 'number' ? () => most : most
    this.#pools = new UpstreamPools({ clock, connectionProvenMs, connectionsMax })
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    const { clock } = this.#opts
    const inquiry = new TaskInquiry({
      ...this.#opts,
      headers: this.#keyHeaders(),
      task,
      witnessTaskId: this.#pools.of(task.address).lastAnsweredTaskId,
      deadlineAtMs: clock.monotonicMs() + task.timeoutMs,
    })
    const cut = new AbortController()
    const giveUp = (): void => {
      cut.abort()
    }
    task.givenUp.addEventListener('abort', giveUp, { once: true })
    if (task.givenUp.aborted) giveUp()
    try {
      const opened = this.#open(task, cut.signal)
      const found = await this.#pollWhileSilent(task, opened, inquiry)
      if (found === undefined) return await this.#finish(task, await opened, inquiry)
      cut.abort()
      this.#pools.of(task.address).retireConnections()
      return found
    } finally {
      task.givenUp.removeEventListener('abort', giveUp)
    }
  }

  close(): void {
    this.#pools.close()
  }

  #open(task: TaskRun, signal: AbortSignal): Promise<Opened> {
    return openHttp({
      clock: this.#opts.clock,
      address: task.address,
      method: 'POST',
      path: `/v1/tasks/${encodeURIComponent(task.taskId)}/run`,
      headers: this.#headers(task),
      body: task.body,
      timeoutMs: task.timeoutMs,
      signal,
      agent: this.#pools.of(task.address).agent,
    }).run()
  }

  /** Polls the task's state until it is final. Returns undefined once the first connection answers or fails. */
  async #pollWhileSilent(
    task: TaskRun,
    opened: Promise<Opened>,
    inquiry: TaskInquiry,
  ): Promise<TaskOutcome | undefined> {
    const settled = new AbortController()
    void opened.then(() => {
      settled.abort(settledReason)
    })
    const isSettled = (): boolean => settled.signal.aborted
    let waitMs = Math.min(this.#opts.connectionProvenMs, task.timeoutMs / 2)
    for (;;) {
      await this.#opts.clock.sleep(waitMs, settled.signal)
      if (isSettled() || task.givenUp.aborted) return undefined
      const state = await inquiry.askState()
      const found = await this.#interpretState(task, state, inquiry)
      if (isSettled()) return undefined
      if (found !== undefined) return found
      // Retrying a repeatable request on another upstream is faster than waiting.
      if (state === undefined && task.repeatable) return createLostOutcome('the upstream is silent')
      waitMs = Math.min(longestPollIntervalMs, waitMs * pollIntervalGrowth)
    }
  }

  async #finish(task: TaskRun, opened: Opened, inquiry: TaskInquiry): Promise<TaskOutcome> {
    const { answerBytesMax } = this.#opts
    const outcome = await opened.caseOf<Promise<TaskOutcome>>({
      Left: (error) =>
        Promise.resolve({ kind: error.kind === 'unreachable' ? 'not-sent' : 'lost', error }),
      Right: (answer) => readAnswer(answer, { answerBytesMax, expected: expectAttempt(task) }),
    })
    if (outcome.kind === 'lost') return this.#followUp(task, outcome, inquiry)
    if (outcome.kind === 'answered') {
      this.#pools.of(task.address).lastAnsweredTaskId = task.taskId
    }
    return outcome
  }

  /** Polls a task whose connection was cut, for as long as its upstream reports it as running. */
  async #followUp(task: TaskRun, lost: TaskOutcome, inquiry: TaskInquiry): Promise<TaskOutcome> {
    while (!task.givenUp.aborted && !inquiry.isPastDeadline) {
      const state = await inquiry.askState()
      const found = await this.#interpretState(task, state, inquiry)
      if (found !== undefined) return found
      // Retrying a repeatable request on another upstream is faster than waiting.
      if (state !== 'running' || task.repeatable) return lost
      await this.#opts.clock.sleep(followUpIntervalMs, task.givenUp)
    }
    return lost
  }

  /** Returns the outcome of the attempt that follows from the state, or undefined if the state is not final. */
  async #interpretState(
    task: TaskRun,
    state: TaskState | undefined,
    inquiry: TaskInquiry,
  ): Promise<TaskOutcome | undefined> {
    if (state === 'finished') return inquiry.collectAnswer()
    if (state !== undefined && endedStates.has(state))
      return createLostOutcome(`the task is ${state}`)
    if (state !== 'unknown' && state !== 'never-runs') return undefined
    const forbidden = state === 'never-runs' || (await inquiry.forbidStart()) === 'never-runs'
    if (forbidden && (await inquiry.hasKeptTasks())) return createNeverRunsOutcome(task)
    return createLostOutcome('its upstream does not know it, and may have forgotten it')
  }

  #headers(task: TaskRun): Record<string, string> {
    return {
      [taskHeaders.taskId]: task.taskId,
      [taskHeaders.attempt]: String(task.attempt),
      [taskHeaders.fence]: String(task.fence),
      [taskHeaders.workspace]: task.workspace,
      [taskHeaders.leaseMs]: String(Math.ceil(task.timeoutMs)),
      ...(task.key === undefined ? {} : { 'idempotency-key': task.key }),
      ...(task.contentType === undefined ? {} : { 'content-type': task.contentType }),
      ...this.#keyHeaders(),
    }
  }

  #keyHeaders(): Record<string, string> {
    const { upstreamKey } = this.#opts
    return upstreamKey === undefined ? {} : { authorization: formatBearerKey(upstreamKey) }
  }
}
