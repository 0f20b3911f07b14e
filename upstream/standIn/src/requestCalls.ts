/** Short requests: each task id runs at most once; a repeated call attaches to that run or its answer. */
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { Capacity } from './capacity.js'
import type { Faults } from './faults.js'
import { readEndedAnswer } from './readEndedAnswer.js'
import type { StandInTask } from './standInTask.js'
import type { TaskTable } from './taskTable.js'

export interface RequestCallsOptions {
  tasks: TaskTable
  capacity: Capacity
  faults: Faults
}

/** One call that asks for a short request. */
export interface RequestCall {
  readonly taskId: string
  readonly fence: number
  readonly leaseMs: number
  readonly body: Buffer
}

export class RequestCalls {
  readonly #opts: RequestCallsOptions

  constructor(opts: RequestCallsOptions) {
    this.#opts = opts
  }

  /** The whole answer, once there is one. */
  run(call: RequestCall): EitherAsync<NettlespurError, Buffer> {
    return EitherAsync.liftEither(this.#attachOrStart(call)).chain((task) =>
      tryAsync(() => task.waitForEnd()).chain(() => EitherAsync.liftEither(readEndedAnswer(task))),
    )
  }

  #attachOrStart(call: RequestCall): Either<NettlespurError, StandInTask> {
    const known = this.#opts.tasks.find(call.taskId)
    if (known === undefined) return this.#startNew(call)
    if (call.fence < known.fence) {
      const message = `task ${call.taskId}: fence ${call.fence} is lower than ${known.fence}`
      return Left(new NettlespurError('fence-too-low', message))
    }
    if (known.reservation !== undefined || known.startedCount === 0) {
      return Left(new NettlespurError('upstream-refused', `task ${call.taskId} never runs`))
    }
    known.fence = call.fence
    if (known.isLive) known.holdLease(call.leaseMs)
    return Right(known)
  }

  #startNew(call: RequestCall): Either<NettlespurError, StandInTask> {
    const { tasks, capacity, faults } = this.#opts
    if (tasks.countRequests() >= capacity.slots) {
      return Left(new NettlespurError('upstream-refused', 'no slot is free'))
    }
    const { taskId, fence, leaseMs, body } = call
    const task = tasks.add({ taskId, fence, payload: body, echo: body })
    task.holdLease(leaseMs)
    task.start(faults.settings.failStarts)
    return Right(task)
  }
}
