/** The result of applying a command: the record concerned, or the reason for refusing the command. */
import type { Claim, ContractRecord } from '@nettlespur/api.schemas'
import type { Evacuation } from '@nettlespur/core.evacuations'
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

/** The claim after the command, whether or not the command changed it. */
export interface ClaimResult {
  readonly type: 'claim'
  readonly claim: Claim
}

/** The evacuation after the command, whether or not the command changed it. */
export interface EvacuationResult {
  readonly type: 'evacuation'
  readonly evacuation: Evacuation
}

/** The command was refused and had no effect. */
export interface Refused {
  readonly type: 'refused'
  readonly error: NettlespurError
}

export type CommandResult = ContractResult | JobResult | ClaimResult | EvacuationResult | Refused

export function refuse(
  kind: ErrorKind,
  message: string,
  opts: NettlespurErrorOptions = {},
): Refused {
  return { type: 'refused', error: new NettlespurError(kind, message, opts) }
}

/** Returns the job of a result. Errors: the error of the refusal. */
export function readJob(result: CommandResult): Either<NettlespurError, JobRecord> {
  if (result.type === 'job') return Right(result.job)
  return Left(toError(result))
}

/** Returns the contract of a result. Errors: the error of the refusal. */
export function readContract(result: CommandResult): Either<NettlespurError, ContractRecord> {
  if (result.type === 'contract') return Right(result.record)
  return Left(toError(result))
}

/** Returns the claim of a result. Errors: the error of the refusal. */
export function readClaim(result: CommandResult): Either<NettlespurError, Claim> {
  if (result.type === 'claim') return Right(result.claim)
  return Left(toError(result))
}

/** Returns the evacuation of a result. Errors: the error of the refusal. */
export function readEvacuation(result: CommandResult): Either<NettlespurError, Evacuation> {
  if (result.type === 'evacuation') return Right(result.evacuation)
  return Left(toError(result))
}

function toError(result: CommandResult): NettlespurError {
  if (result.type === 'refused') return result.error
  return new NettlespurError('internal', `unexpected command result of type ${result.type}`)
}
