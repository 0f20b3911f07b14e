/** The answer of a task that has ended, or what it ended with instead. */
import type { TaskState } from '@nettlespur/api.schemas'
import { NettlespurError, type ErrorKind } from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'
import type { StandInTask } from './standInTask.js'

const kindsWithoutAnswer: Readonly<Record<TaskState, ErrorKind>> = {
  unknown: 'unknown-job',
  reserved: 'outcome-unknown',
  running: 'outcome-unknown',
  finished: 'answer-expired',
  failed: 'job-failed',
  stopped: 'cancelled-after-start',
  'never-runs': 'cancelled-before-start',
  'lease-expired': 'upstream-failed',
}

/** Errors: one kind for each state without an answer; `outcome-unknown` where it has not ended. */
export function readEndedAnswer(task: StandInTask): Either<NettlespurError, Buffer> {
  if (task.answer !== undefined) return Right(task.answer)
  const state = task.state.value
  const kind = task.startedCount === 0 ? kindBeforeStart(state) : kindsWithoutAnswer[state]
  const reason = task.failure ?? `it is ${state} and has no answer`
  return Left(new NettlespurError(kind, `task ${task.taskId}: ${reason}`))
}

function kindBeforeStart(state: TaskState): ErrorKind {
  return state === 'reserved' ? 'outcome-unknown' : 'cancelled-before-start'
}
