/**
 * Carries attempts over HTTP on kept connections. An answer that does not come within the proven time of a
 * connection is asked for on a new one, and again at growing intervals; where the upstream has ended the
 * task, or never saw it, the old connection was silent: it is cut and its pool distrusted. An answer that
 * was cut is asked for in the same way before the attempt counts as lost.
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

/** Made once: a reason made for each request would cost a stack trace. */
const settledReason = new Error('the first connection answered or failed')
const longestPollIntervalMs = 15_000
const pollIntervalGrowth = 2
/** Between two looks at a task whose connection was cut while it ran. */
const followUpIntervalMs = 100

export interface HttpTaskTransportOptions {
  clock: Clock
  /** Sent to upstreams; undefined where they need none. */
  upstreamKey?: string | undefined
  /** Most open connections to one upstream, read again for each request. */
  connectionsPerUpstream: number | (() => number)
  connectionProvenMs: number
  answerBytesMax: number
}

/** Ended without an answer. */
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

  /** Undefined as soon as the first connection answers or fails. */
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
      // A repeatable request is served sooner elsewhere.
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

  /** Asks after a task whose connection was cut, for as long as its upstream says that it runs. */
  async #followUp(task: TaskRun, lost: TaskOutcome, inquiry: TaskInquiry): Promise<TaskOutcome> {
    while (!task.givenUp.aborted && !inquiry.isPastDeadline) {
      const state = await inquiry.askState()
      const found = await this.#interpretState(task, state, inquiry)
      if (found !== undefined) return found
      // A repeatable request is served sooner elsewhere.
      if (state !== 'running' || task.repeatable) return lost
      await this.#opts.clock.sleep(followUpIntervalMs, task.givenUp)
    }
    return lost
  }

  /** What the state means for the attempt; undefined where it says nothing final. */
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
