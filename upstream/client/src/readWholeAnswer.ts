/** Takes an answer only when it is whole and belongs to the task it was asked for. */
import { taskHeaders } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { toAnswerError, type HttpAnswer } from '@nettlespur/net.client'
import { Left, Right, type Either } from 'purify-ts'

const statusOk = 200

/** What the headers of an answer must name. */
export interface ExpectedAnswer {
  readonly taskId: string
  readonly fence: number
  /** Checked where given: the answer to a short request names its attempt. */
  readonly attempt?: number
}

/** Errors: `outcome-unknown` for an answer that is not whole or another's, and what the upstream told. */
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
  return `${header} is ${String(value ?? 'absent')} instead of ${expected}`
}
