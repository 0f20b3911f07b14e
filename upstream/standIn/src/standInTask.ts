/**
 * One task on the stand-in, a gang member or a short request. It moves from reserved to running to one
 * end state; its lease ends it from either.
 */
import type { ReserveTask, TaskReport, TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { Clock, Timer } from '@nettlespur/core.clock'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'
import { createAnswer, readSimulatedWork, type SimulatedWork } from './simulatedWork.js'
import { WorkProgress } from './workProgress.js'

export interface StandInTaskOptions {
  clock: Clock
  taskId: string
  fence: number
  payload: Buffer
  /** Undefined for a short request. */
  reservation?: ReserveTask
  /** Sent back where the payload asks for no answer of its own. */
  echo: Buffer
  /** Told once, when the task reaches an end state. */
  onEnd: (task: StandInTask) => void
}

export interface StopOptions {
  graceMs: number
  /** Where the upstream itself fails to stop anything. */
  ignored: boolean
}

export class StandInTask {
  readonly taskId: string
  readonly reservation: ReserveTask | undefined
  readonly state = new BehaviorSubject<TaskState>('reserved')
  fence: number
  startedCount = 0
  answer: Buffer | undefined
  answerBytes: number | undefined
  failure: string | undefined
  checkpointId: string | undefined
  /** On the clock's monotonic scale. */
  endedAtMs: number | undefined
  readonly #opts: StandInTaskOptions
  readonly #work: SimulatedWork
  readonly #progress: WorkProgress
  readonly #timers = new Map<'lease' | 'stop', Timer>()
  readonly #ended = new AbortController()
  #checkpointCount = 0

  constructor(opts: StandInTaskOptions) {
    this.#opts = opts
    this.taskId = opts.taskId
    this.reservation = opts.reservation
    this.fence = opts.fence
    this.#work = readSimulatedWork(opts.payload)
    this.#progress = new WorkProgress({
      clock: opts.clock,
      runTimeMs: this.#work.runTimeMs,
      doneMs: readCheckpointMs(opts.reservation?.checkpointId),
      onDone: () => {
        this.#finish()
      },
    })
  }

  get isLive(): boolean {
    return isLiveState(this.state.value)
  }

  /** Holds the task for `leaseMs` from now, in place of its former lease. */
  holdLease(leaseMs: number): void {
    this.#setTimer('lease', leaseMs, () => {
      this.end('lease-expired')
    })
  }

  start(failAtOnce: boolean): void {
    this.startedCount += 1
    this.state.next('running')
    if (failAtOnce) this.#fail('this upstream fails every start')
    else this.#progress.run()
  }

  setCpuShare(cpuShare: number): void {
    this.#progress.setCpuShare(cpuShare)
  }

  /** Resolves once the checkpoint is whole, or when the task has ended before. */
  async checkpoint(): Promise<void> {
    const doneMs = Math.floor(this.#progress.countDoneMs())
    const { checkpointMs } = this.#work
    if (checkpointMs > 0) await this.#opts.clock.sleep(checkpointMs, this.#ended.signal)
    if (!this.isLive) return
    this.#checkpointCount += 1
    this.checkpointId = `${this.taskId}@${this.fence}.${this.#checkpointCount}:${doneMs}`
  }

  stop(opts: StopOptions): void {
    if (this.state.value === 'reserved') this.end('never-runs')
    if (this.state.value !== 'running' || opts.ignored) return
    if (this.#work.ignoreStop)
      this.#setTimer('stop', opts.graceMs, () => {
        this.end('stopped')
      })
    else this.end('stopped')
  }

  /** Resolves with the end state. */
  waitForEnd(): Promise<TaskState> {
    return firstValueFrom(this.state.pipe(filter((state) => !isLiveState(state))))
  }

  status(): TaskStatus {
    const { taskId, fence, answerBytes, failure, checkpointId } = this
    return {
      taskId,
      fence,
      state: this.state.value,
      ...(answerBytes === undefined ? {} : { answerBytes }),
      ...(failure === undefined ? {} : { failure }),
      ...(checkpointId === undefined ? {} : { checkpointId }),
    }
  }

  report(): TaskReport {
    const { taskId, fence } = this
    const isRunning = this.state.value === 'running'
    const used = isRunning ? this.reservation : undefined
    if (used === undefined) return { taskId, fence, state: this.state.value }
    const { cpuCores: cpuCoresUsed, memoryBytes: memoryBytesUsed } = used
    return { taskId, fence, state: this.state.value, cpuCoresUsed, memoryBytesUsed }
  }

  #finish(): void {
    if (this.#work.fail !== undefined) {
      this.#fail(this.#work.fail)
      return
    }
    this.answer = createAnswer(this.#work, this.#opts.echo)
    this.answerBytes = this.answer.length
    this.end('finished')
  }

  #fail(failure: string): void {
    this.failure = failure
    this.end('failed')
  }

  end(state: TaskState): void {
    if (!this.isLive) return
    this.#progress.cancel()
    for (const timer of this.#timers.values()) timer.cancel()
    this.endedAtMs = this.#opts.clock.monotonicMs()
    this.state.next(state)
    this.#ended.abort()
    this.#opts.onEnd(this)
  }

  #setTimer(name: 'lease' | 'stop', delayMs: number, run: () => void): void {
    this.#timers.get(name)?.cancel()
    this.#timers.set(name, this.#opts.clock.setTimer(delayMs, run))
  }
}

function isLiveState(state: TaskState): boolean {
  return state === 'reserved' || state === 'running'
}

/** The work a checkpoint holds stands in its id, so that any stand-in can resume from it. */
function readCheckpointMs(checkpointId: string | undefined): number {
  const doneMs = Number(checkpointId?.split(':').at(-1))
  return Number.isFinite(doneMs) ? doneMs : 0
}
