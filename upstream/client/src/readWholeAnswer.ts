/** Accepts an answer only if it is complete and belongs to the requested task. */
import { taskHeaders } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { toAnswerError, type HttpAnswer } from '@nettlespur/net.client'
import { Left, Right, type Either } from 'purify-ts'

const statusOk = 200

/** Values that the headers of an answer must match. */
export interface ExpectedAnswer {
  readonly taskId: string
  readonly fence: number
  /** Checked only if given: answers to short requests carry the number of their attempt. */
  readonly attempt?: number
}

/**
 * Returns the body of a complete answer. Errors: `outcome-unknown` if it is incomplete or belongs to another task,
 * fence or attempt; the upstream's own error if the status is not 200.
 */
export function readWholeAnswer(
  answer: HttpAnswer,
  expected: ExpectedAnswer,
): Either<NettlespurError, Buffer> {
  if (answer.status !== statusOk) return Left(toAnswerError(answer))
  const mismatch = findMismatch(answer, expected)
  if (mismatch === undefined) return Right(answer.body)
  return Left(
    new NettlespurError('outcome-unknown', `answer of task ${expected.taskId}: ${mismatch}`),
  )
}

function findMismatch(answer: HttpAnswer, expected: ExpectedAnswer): string | undefined {
  const length = String(answer.body.length)
  return (
    compareHeader(answer, taskHeaders.taskId, expected.taskId) ??
    compareHeader(answer, taskHeaders.fence, String(expected.fence)) ??
    compareHeader(answer, taskHeaders.attempt, expected.attempt?.toString()) ??
    compareHeader(answer, 'content-length', length)
  )
}

function compareHeader(
  answer: HttpAnswer,
  header: string,
  expected: string | undefined,
): string | undefined {
  const value = answer.headers[header]
  if (expected === undefined || value === expected) return undefined
  return `header ${header} is ${String(value ?? 'absent')}, expected ${expected}`
}
