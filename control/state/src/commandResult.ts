/** What applying a command gave: the record it made or changed, or why it changed nothing. */
import type { Claim, ContractRecord } from '@nettlespur/api.schemas'
import {
  NettlespurError,
  type ErrorKind,
  type NettlespurErrorOptions,
} from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'
import type { JobRecord } from './jobRecord.js'

export interface ContractResult {
  readonly type: 'contract'
  readonly record: ContractRecord
}

export interface JobResult {
  readonly type: 'job'
  readonly job: JobRecord
}

/** The claim as it stands, whether or not this command changed it. */
export interface ClaimResult {
  readonly type: 'claim'
  readonly claim: Claim
}

/** The state is as it was before. */
export interface Refused {
  readonly type: 'refused'
  readonly error: NettlespurError
}

export type CommandResult = ContractResult | JobResult | ClaimResult | Refused

export function refuse(
  kind: ErrorKind,
  message: string,
  opts: NettlespurErrorOptions = {},
): Refused {
  return { type: 'refused', error: new NettlespurError(kind, message, opts) }
}

/** The job of a result. Errors: the refusal's own. */
export function readJob(result: CommandResult): Either<NettlespurError, JobRecord> {
  if (result.type === 'job') return Right(result.job)
  return Left(toError(result))
}

/** The contract of a result. Errors: the refusal's own. */
export function readContract(result: CommandResult): Either<NettlespurError, ContractRecord> {
  if (result.type === 'contract') return Right(result.record)
  return Left(toError(result))
}

/** The claim of a result. Errors: the refusal's own. */
export function readClaim(result: CommandResult): Either<NettlespurError, Claim> {
  if (result.type === 'claim') return Right(result.claim)
  return Left(toError(result))
}

function toError(result: CommandResult): NettlespurError {
  if (result.type === 'refused') return result.error
  return new NettlespurError('internal', `a ${result.type} was not what this command gives`)
}
