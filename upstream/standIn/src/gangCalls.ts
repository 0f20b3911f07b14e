/**
 * The task protocol for gang members. Nothing starts below the job's highest fence, nor under a fence at
 * which the job was stopped; an accelerator is held by one live task at a time.
 */
import type {
  RenewLeases,
  ReserveTask,
  stopTaskSchema,
  TaskStatus,
  throttleTaskSchema,
} from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { findShortage, type Capacity } from './capacity.js'
import type { Faults } from './faults.js'
import { FenceTable } from './fenceTable.js'
import type { StandInTask } from './standInTask.js'
import type { TaskTable } from './taskTable.js'

type StopTask = z.infer<typeof stopTaskSchema>
type ThrottleTask = z.infer<typeof throttleTaskSchema>
type TaskResult = Either<NettlespurError, TaskStatus>

export interface GangCallsOptions {
  tasks: TaskTable
  capacity: Capacity
  faults: Faults
}

export class GangCalls {
  readonly #opts: GangCallsOptions
  readonly #fences = new FenceTable()

  constructor(opts: GangCallsOptions) {
    this.#opts = opts
  }

  reserve(taskId: string, body: ReserveTask): TaskResult {
    return this.#fences.admit(body.jobId, body.fence).chain(() => {
      const known = this.#opts.tasks.find(taskId)
      if (known !== undefined && known.fence >= body.fence) return this.#repeatReserve(known, body)
      if (known?.reservation === undefined && known?.startedCount === 1) {
        return refuse(`task ${taskId} is a short request`)
      }
      if (known?.isLive === true) return refuse(`task ${taskId} is live under another fence`)
      return this.#reserveNew(taskId, body)
    })
  }

  start(taskId: string, fence: number): TaskResult {
    return this.#admitKnown(taskId, fence).chain((task) => {
      if (task.state.value !== 'reserved') return this.#tellUnlessNeverStarted(task)
      if (!this.#fences.mayStart(jobIdOf(task), fence)) {
        task.end('never-runs')
        return refuse(`task ${taskId}: its job was stopped under this fence`)
      }
      task.start(this.#opts.faults.settings.failStarts)
      return Right(this.#tell(task))
    })
  }

  checkpoint(taskId: string, fence: number): EitherAsync<NettlespurError, TaskStatus> {
    const running = EitherAsync.liftEither(this.#admitRunning(taskId, fence))
    return running.chain((task) =>
      EitherAsync.fromPromise(async () => {
        await task.checkpoint()
        return Right(task.status())
      }),
    )
  }

  throttle(taskId: string, body: ThrottleTask): TaskResult {
    return this.#admitRunning(taskId, body.fence).map((task) => {
      task.setCpuShare(body.cpuShare)
      return task.status()
    })
  }

  stop(taskId: string, body: StopTask): TaskResult {
    const { tasks, faults } = this.#opts
    const known = tasks.find(taskId)
    if (known !== undefined && body.fence < known.fence) {
      return Left(createLowFenceError(known, body.fence))
    }
    this.#fences.forbidStarts(known?.reservation?.jobId ?? body.jobId, body.fence)
    const task = known ?? tasks.addTombstone(taskId, body.fence)
    task.stop({ graceMs: body.graceMs, ignored: faults.settings.ignoreStops })
    return Right(this.#tell(task))
  }

  /** Renews the leases held under the fences given; the answer has one status for each, in order. */
  renew(body: RenewLeases): TaskStatus[] {
    return body.leases.map(({ taskId, fence, leaseMs }) => {
      const task = this.#opts.tasks.find(taskId)
      if (task?.isLive === true && task.fence === fence) task.holdLease(leaseMs)
      return this.#opts.tasks.status(taskId)
    })
  }

  #repeatReserve(known: StandInTask, body: ReserveTask): TaskResult {
    if (known.fence > body.fence) return Left(createLowFenceError(known, body.fence))
    if (known.reservation !== undefined && known.reservation.jobId !== body.jobId) {
      return refuse(`task ${known.taskId} belongs to another job`)
    }
    return this.#tellUnlessNeverStarted(known)
  }

  #reserveNew(taskId: string, body: ReserveTask): TaskResult {
    const { tasks, capacity, faults } = this.#opts
    if (faults.settings.refuseReserves) return refuse('this upstream refuses every reservation')
    if (!this.#fences.mayStart(body.jobId, body.fence)) {
      return refuse(`job ${body.jobId} was stopped under this fence`)
    }
    const shortage = findShortage(capacity, tasks.listReservations(), body)
    if (shortage !== undefined) return refuse(shortage)
    const { fence, rank, gangSize, payload } = body
    const echo = Buffer.from(JSON.stringify({ taskId, rank, gangSize, payload }))
    const task = tasks.add({
      taskId,
      fence,
      echo,
      payload: Buffer.from(payload),
      reservation: body,
    })
    task.holdLease(body.leaseMs)
    return Right(this.#tell(task))
  }

  /** A gang member reserved under exactly this fence. */
  #admitKnown(taskId: string, fence: number): Either<NettlespurError, StandInTask> {
    const task = this.#opts.tasks.find(taskId)
    if (task === undefined) return refuse(`task ${taskId} is not reserved`)
    return this.#fences.admit(jobIdOf(task), fence).chain(() => {
      if (fence < task.fence) return Left(createLowFenceError(task, fence))
      if (fence > task.fence) return refuse(`task ${taskId} is not reserved under fence ${fence}`)
      return Right(task)
    })
  }

  /** A refusal says that nothing ran, so it is not for a task that was started once. */
  #tellUnlessNeverStarted(task: StandInTask): TaskResult {
    if (task.isLive || task.startedCount > 0) return Right(this.#tell(task))
    return refuse(`task ${task.taskId} ended before its start: ${task.state.value}`)
  }

  /** Names this process: a leader that saw another one before knows that its task is gone. */
  #tell(task: StandInTask): TaskStatus {
    return { ...task.status(), session: this.#opts.tasks.session }
  }

  #admitRunning(taskId: string, fence: number): Either<NettlespurError, StandInTask> {
    return this.#admitKnown(taskId, fence).chain((task) =>
      task.state.value === 'running' ? Right(task) : refuse(`task ${taskId} is not running`),
    )
  }
}

function jobIdOf(task: StandInTask): string {
  return task.reservation?.jobId ?? task.taskId
}

function refuse(message: string): Either<NettlespurError, never> {
  return Left(new NettlespurError('upstream-refused', message))
}

function createLowFenceError(task: StandInTask, fence: number): NettlespurError {
  const message = `task ${task.taskId}: fence ${fence} is lower than ${task.fence}`
  return new NettlespurError('fence-too-low', message)
}
