/** Every task the stand-in knows, live or ended, and what the live ones hold of its capacity. */
import { randomUUID } from 'node:crypto'
import type { ReserveTask, TaskReport, TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { Retention } from './retention.js'
import { StandInTask } from './standInTask.js'

const defaultKeepAnswersMs = 600_000
const defaultAnswersMax = 1000
const reportsMax = 1024

export interface TaskTableOptions {
  clock: Clock
  /** How long the answer of a finished task can be collected, in milliseconds. */
  keepAnswersMs?: number
  /** How many answers are kept at a time. */
  answersMax?: number
}

/** What happened to one task, for checks that nothing ran twice. */
export interface TaskRun {
  readonly taskId: string
  readonly jobId?: string
  readonly fence: number
  readonly startedCount: number
  readonly endState: TaskState
}

/** What makes a new task. */
export interface NewTask {
  readonly taskId: string
  readonly fence: number
  readonly payload: Buffer
  readonly echo: Buffer
  readonly reservation?: ReserveTask
}

export class TaskTable {
  /** Names this start: a restarted stand-in has forgotten its tasks. */
  readonly session = randomUUID()
  readonly #clock: Clock
  readonly #byId = new Map<string, StandInTask>()
  readonly #live = new Set<StandInTask>()
  readonly #retention: Retention

  constructor(opts: TaskTableOptions) {
    this.#clock = opts.clock
    this.#retention = new Retention({
      clock: opts.clock,
      keepAnswersMs: opts.keepAnswersMs ?? defaultKeepAnswersMs,
      answersMax: opts.answersMax ?? defaultAnswersMax,
      onDrop: (task) => {
        if (this.#byId.get(task.taskId) === task) this.#byId.delete(task.taskId)
      },
    })
  }

  find(taskId: string): StandInTask | undefined {
    this.#retention.trim()
    return this.#byId.get(taskId)
  }

  /** Adds a reserved task, in place of an ended one of the same id. */
  add(opts: NewTask): StandInTask {
    const task = new StandInTask({
      ...opts,
      clock: this.#clock,
      onEnd: (ended) => {
        this.#live.delete(ended)
        this.#retention.add(ended)
      },
    })
    this.#byId.set(opts.taskId, task)
    this.#live.add(task)
    return task
  }

  /** Records that a task never seen never runs under this fence. */
  addTombstone(taskId: string, fence: number): StandInTask {
    const nothing = Buffer.alloc(0)
    const task = this.add({ taskId, fence, payload: nothing, echo: nothing })
    task.stop({ graceMs: 0, ignored: false })
    return task
  }

  status(taskId: string): TaskStatus {
    const { session } = this
    const status = this.find(taskId)?.status() ?? { taskId, fence: 0, state: 'unknown' }
    return { ...status, session }
  }

  /** The reservations of live gang members. */
  listReservations(): ReserveTask[] {
    return [...this.#live].flatMap(({ reservation }) => reservation ?? [])
  }

  countRequests(): number {
    return [...this.#live].filter(({ reservation }) => reservation === undefined).length
  }

  /** Live tasks first, then the ones that ended last. */
  listReports(): TaskReport[] {
    const ended = this.#retention.list().reverse()
    return [...this.#live, ...ended].slice(0, reportsMax).map((task) => task.report())
  }

  listRuns(): TaskRun[] {
    return [...this.#retention.list(), ...this.#live].map(toRun)
  }

  /** Ends every live task. */
  endAll(): void {
    for (const task of [...this.#live]) task.end('stopped')
  }
}

function toRun(task: StandInTask): TaskRun {
  const { taskId, fence, startedCount, reservation } = task
  const run = { taskId, fence, startedCount, endState: task.state.value }
  return reservation === undefined ? run : { ...run, jobId: reservation.jobId }
}
