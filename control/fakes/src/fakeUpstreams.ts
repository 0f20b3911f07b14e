/**
 * In-memory upstreams with the states, leases and idempotent calls of the task protocol. A status carries the
 * fence of its task, but calls are not checked against it. Tests inject faults by address: an upstream can
 * refuse reservations or checkpoints, be unreachable, lose its answers, or ignore stops.
 */
import type { RenewLeases, ReserveTask, TaskState, TaskStatus } from '@nettlespur/api.schemas'
import type { Clock } from '@nettlespur/core.clock'
import { NettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { UpstreamClient, type TaskReference } from '@nettlespur/upstream.client'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'

interface FakeTask {
  readonly address: string
  readonly taskId: string
  readonly jobId: string
  readonly fence: number
  /** Names the process of the upstream that has the task. */
  readonly session: string
  readonly acceleratorIndexes: readonly number[]
  state: TaskState
  leaseEndMs: number
  answer: string
  failure: string | undefined
}

export class FakeUpstreams extends UpstreamClient {
  /** Addresses that refuse reservations. */
  readonly refusing = new Set<string>()
  /** Addresses that no call reaches. */
  readonly unreachable = new Set<string>()
  /** Addresses that execute calls but whose answers are lost. */
  readonly mute = new Set<string>()
  /** Addresses that keep running a stopped task until its lease expires. */
  readonly ignoringStops = new Set<string>()
  /** Addresses that refuse to take checkpoints. */
  readonly refusingCheckpoints = new Set<string>()
  /** Bodies of accepted reservations, by task id. */
  readonly reservations = new Map<string, ReserveTask>()
  /** If set, each task finishes with this answer as soon as it has started. */
  instantAnswer: string | undefined
  /** Ids of started tasks, in the order of their start. */
  readonly started: string[] = []
  readonly #clock: Clock
  readonly #tasks = new Map<string, FakeTask>()
  /** How often each upstream has restarted, by address. */
  readonly #restarts = new Map<string, number>()

  constructor(clock: Clock) {
    super()
    this.#clock = clock
  }

  /** Returns the current state of a task, or undefined if it is not known. */
  getState(taskId: string): TaskState | undefined {
    const task = this.#tasks.get(taskId)
    if (task !== undefined) this.#expireLease(task)
    return task?.state
  }

  /** Lists tasks that hold accelerators now. */
  listHolding(): readonly FakeTask[] {
    return [...this.#tasks.values()].filter((task) => {
      this.#expireLease(task)
      return task.state === 'reserved' || task.state === 'running'
    })
  }

  finish(taskId: string, answer: string): void {
    this.#endTask(taskId, 'finished', (task) => (task.answer = answer))
  }

  fail(taskId: string, failure: string): void {
    this.#endTask(taskId, 'failed', (task) => (task.failure = failure))
  }

  /** Restarts the upstream: its tasks end, and it has no record of them. */
  restartUpstream(address: string): void {
    this.#restarts.set(address, (this.#restarts.get(address) ?? 0) + 1)
    for (const task of this.#tasks.values()) {
      if (task.address === address) this.#tasks.delete(task.taskId)
    }
  }

  reserve(
    address: string,
    taskId: string,
    body: ReserveTask,
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#respond(address, () => {
      if (this.refusing.has(address)) return createError('upstream-refused')
      const known = this.#tasks.get(taskId)
      if (known !== undefined) return Right(toStatus(known))
      const { jobId, fence, acceleratorIndexes, leaseMs } = body
      const task: FakeTask = {
        address,
        taskId,
        jobId,
        fence,
        session: this.#sessionOf(address),
        acceleratorIndexes,
        state: 'reserved',
        leaseEndMs: this.#clock.monotonicMs() + leaseMs,
        answer: '',
        failure: undefined,
      }
      this.#tasks.set(taskId, task)
      this.reservations.set(taskId, body)
      return Right(toStatus(task))
    })
  }

  start(reference: TaskReference): EitherAsync<NettlespurError, TaskStatus> {
    return this.#withTask(reference, (task) => {
      if (task.state === 'reserved') {
        task.state = 'running'
        this.started.push(task.taskId)
        if (this.instantAnswer !== undefined) this.finish(task.taskId, this.instantAnswer)
        return Right(toStatus(task))
      }
      return task.state === 'running' ? Right(toStatus(task)) : createError('upstream-refused')
    })
  }

  checkpoint(reference: TaskReference): EitherAsync<NettlespurError, TaskStatus> {
    return this.#withTask(reference, (task) => {
      if (task.state !== 'running' || this.refusingCheckpoints.has(reference.address)) {
        return createError('upstream-refused')
      }
      return Right({ ...toStatus(task), checkpointId: `of-${task.taskId}` })
    })
  }

  throttle(reference: TaskReference): EitherAsync<NettlespurError, TaskStatus> {
    return this.#withTask(reference, (task) => Right(toStatus(task)))
  }

  stop(
    { address, taskId, fence }: TaskReference,
    { jobId }: { jobId: string },
  ): EitherAsync<NettlespurError, TaskStatus> {
    return this.#respond(address, () => {
      const leaseEndMs = 0
      const neverRun = {
        address,
        taskId,
        jobId,
        fence,
        session: this.#sessionOf(address),
        leaseEndMs,
        acceleratorIndexes: [],
        answer: '',
      }
      const task = this.#tasks.get(taskId) ?? {
        ...neverRun,
        state: 'never-runs',
        failure: undefined,
      }
      this.#tasks.set(taskId, task)
      this.#expireLease(task)
      if (task.state === 'reserved') task.state = 'never-runs'
      if (task.state === 'running' && !this.ignoringStops.has(address)) task.state = 'stopped'
      return Right(toStatus(task))
    })
  }

  renew(address: string, { leases }: RenewLeases): EitherAsync<NettlespurError, TaskStatus[]> {
    return this.#respond(address, () => Right(leases.map((lease) => this.#renewOne(lease))))
  }

  getTask(address: string, taskId: string): EitherAsync<NettlespurError, TaskStatus> {
    return this.#respond(address, () => Right(this.#describe(taskId)))
  }

  getAnswer(reference: TaskReference): EitherAsync<NettlespurError, Buffer> {
    return this.#withTask(reference, (task) => {
      return task.state === 'finished'
        ? Right(Buffer.from(task.answer))
        : createError('upstream-refused')
    })
  }

  #sessionOf(address: string): string {
    return `${address}/${this.#restarts.get(address) ?? 0}`
  }

  #endTask(taskId: string, state: TaskState, change: (task: FakeTask) => void): void {
    const task = this.#tasks.get(taskId)
    if (task?.state !== 'running') throw new Error(`${taskId} does not run`)
    task.state = state
    change(task)
  }

  #renewOne(lease: RenewLeases['leases'][number]): TaskStatus {
    const task = this.#tasks.get(lease.taskId)
    if (task === undefined) return this.#describe(lease.taskId)
    this.#expireLease(task)
    task.leaseEndMs = this.#clock.monotonicMs() + lease.leaseMs
    return toStatus(task)
  }

  #describe(taskId: string): TaskStatus {
    const task = this.#tasks.get(taskId)
    return task === undefined ? { taskId, fence: 0, state: 'unknown' } : toStatus(task)
  }

  #expireLease(task: FakeTask): void {
    const holds = task.state === 'reserved' || task.state === 'running'
    if (holds && this.#clock.monotonicMs() >= task.leaseEndMs) task.state = 'lease-expired'
  }

  #withTask<T>(
    { address, taskId }: TaskReference,
    act: (task: FakeTask) => Either<NettlespurError, T>,
  ): EitherAsync<NettlespurError, T> {
    return this.#respond(address, () => {
      const task = this.#tasks.get(taskId)
      if (task === undefined) return createError('upstream-refused')
      this.#expireLease(task)
      return act(task)
    })
  }

  #respond<T>(
    address: string,
    act: () => Either<NettlespurError, T>,
  ): EitherAsync<NettlespurError, T> {
    return EitherAsync.fromPromise(() => {
      if (this.unreachable.has(address)) return Promise.resolve(createError<T>('unreachable'))
      const acted = act()
      return Promise.resolve(this.mute.has(address) ? createError<T>('outcome-unknown') : acted)
    })
  }
}

function toStatus({ taskId, fence, state, failure, session }: FakeTask): TaskStatus {
  return { taskId, fence, state, failure, session }
}

function createError<T>(kind: ErrorKind): Either<NettlespurError, T> {
  return Left(new NettlespurError(kind, `the fake answers ${kind}`))
}
