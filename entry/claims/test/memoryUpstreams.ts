/** Fake upstreams in memory, which follow a script of faults and record the tasks that they ran. */
import type { TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { TaskTransport, type TaskOutcome, type TaskRun } from '@nettlespur/entry.requests'

/** `late`: the attempt arrives only when released. `slow`: it runs until released. `lose`: it runs, but its answer is lost. */
export type Fault =
  'answer' | 'late-refuse' | 'lose' | 'refuse' | 'not-sent' | 'late' | 'late-lose' | 'slow'

interface Task {
  fence: number
  state: TaskState
  readonly body: Buffer
}

export class MemoryUpstreams {
  readonly script: Fault[] = []
  /** One entry for each start of a task. */
  readonly started: { key: string; taskId: string }[] = []
  /** One entry for each attempt that was sent. */
  readonly sent: { key: string; taskId: string }[] = []
  /** Delays of the next task status answers, in order. */
  readonly statusDelaysMs: number[] = []
  /** How often an answer was fetched after its run. */
  collectedCount = 0
  readonly #clock: Clock
  readonly #tasks = new Map<string, Task>()
  #paused: (() => void)[] = []

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Resumes all attempts that are late or slow. */
  release(): void {
    const held = this.#paused
    this.#paused = []
    for (const resume of held) resume()
  }

  async run(task: TaskRun): Promise<TaskOutcome> {
    const fault = this.script.shift() ?? 'answer'
    const error = new NettlespurError('outcome-unknown', fault)
    const key = String(task.key)
    this.sent.push({ key, taskId: task.taskId })
    if (fault === 'not-sent') return { kind: 'not-sent', error }
    if (fault === 'late-refuse') await this.#pauseUntilReleased()
    if (fault === 'refuse' || fault === 'late-refuse') return { kind: 'refused', error }
    if (fault === 'late' || fault === 'late-lose') await this.#pauseUntilReleased()
    const known = this.#tasks.get(createTaskKey(task.address, task.taskId))
    if (known !== undefined && (known.fence > task.fence || known.state === 'never-runs')) {
      return { kind: 'refused', error }
    }
    const body = Buffer.from(`${task.taskId} answers ${task.body.toString()}`)
    const started: Task = { fence: task.fence, state: 'running', body }
    this.#tasks.set(createTaskKey(task.address, task.taskId), started)
    this.started.push({ key, taskId: task.taskId })
    if (fault === 'slow') await this.#pauseUntilReleased()
    if (started.state === 'running') started.state = 'finished'
    if (fault === 'lose' || fault === 'late-lose' || started.state !== 'finished') {
      return { kind: 'lost', error }
    }
    return {
      kind: 'answered',
      answer: { status: 200, contentType: undefined, body, lengthBytes: body.length },
    }
  }

  getTask(address: string, taskId: string) {
    return tryAsync(() => this.#delay(this.#status(address, taskId)))
  }

  stop({ address, taskId, fence }: { address: string; taskId: string; fence: number }) {
    return tryAsync(() => {
      const known = this.#tasks.get(createTaskKey(address, taskId))
      if (known === undefined) {
        const tombstone: Task = { fence, state: 'never-runs', body: Buffer.alloc(0) }
        this.#tasks.set(createTaskKey(address, taskId), tombstone)
      } else {
        known.fence = fence
        if (known.state === 'running') known.state = 'stopped'
      }
      return this.#delay(this.#status(address, taskId))
    })
  }

  getTypedAnswer({ address, taskId }: { address: string; taskId: string }) {
    return tryAsync(() => {
      this.collectedCount += 1
      const known = this.#tasks.get(createTaskKey(address, taskId))
      if (known?.state === 'finished') {
        return Promise.resolve({ contentType: undefined, body: known.body })
      }
      return Promise.reject(new NettlespurError('unknown-job', taskId))
    })
  }

  #status(address: string, taskId: string): TaskStatus {
    const known = this.#tasks.get(createTaskKey(address, taskId))
    const status = { taskId, fence: known?.fence ?? 0, state: known?.state ?? 'unknown' }
    return known?.state === 'finished' ? { ...status, answerBytes: known.body.length } : status
  }

  async #delay(status: TaskStatus): Promise<TaskStatus> {
    const delayMs = this.statusDelaysMs.shift() ?? 0
    if (delayMs > 0) await this.#clock.sleep(delayMs)
    return status
  }

  #pauseUntilReleased(): Promise<void> {
    return new Promise((resolve) => this.#paused.push(resolve))
  }
}

/** The transport of one entry process. Once the process is dead, it sends nothing and its pending calls never resolve. */
export class MemoryTransport extends TaskTransport {
  readonly #upstreams: MemoryUpstreams
  readonly #isDead: () => boolean

  constructor(upstreams: MemoryUpstreams, isDead: () => boolean) {
    super()
    this.#upstreams = upstreams
    this.#isDead = isDead
  }

  override async run(task: TaskRun): Promise<TaskOutcome> {
    if (this.#isDead()) return new Promise<never>(() => undefined)
    const outcome = await this.#upstreams.run(task)
    return this.#isDead() ? new Promise<never>(() => undefined) : outcome
  }
}

function createTaskKey(address: string, taskId: string): string {
  return `${address} ${taskId}`
}
