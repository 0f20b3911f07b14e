/** Runs one call to a peer and converts every failure to an error of the error table. */
import {
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  type RpcResult,
} from '@nettlespur/core.errors'
import { TRPCClientError } from '@trpc/client'
import { EitherAsync } from 'purify-ts'
import { tooLargeCode } from './messageCodec.js'

/** tRPC's codes for a call that no procedure was executed for: its input is invalid, or the procedure does not exist. */
const unreadCodes: ReadonlySet<unknown> = new Set(['BAD_REQUEST', 'NOT_FOUND', 'PARSE_ERROR'])
/** By then another member may lead. */
const retryAfterMs = 1000

/**
 * Runs one procedure that answers with an RpcResult. Errors: those of the procedure, `unauthorized`, `unreachable`,
 * `body-too-large`, `version-mismatch`, `outcome-unknown`.
 */
export function callPeer<T>(run: () => Promise<RpcResult<T>>): EitherAsync<NettlespurError, T> {
  return EitherAsync<unknown, RpcResult<T>>(run)
    .mapLeft(toPeerError)
    .chain((result) => EitherAsync.liftEither(fromRpcResult(result)))
}

function toPeerError(thrown: unknown): NettlespurError {
  const cause = thrown instanceof TRPCClientError ? (thrown.cause ?? thrown) : thrown
  if (cause instanceof NettlespurError) return cause
  const { message } = toNettlespurError(cause)
  const code = readCode(thrown)
  if (code === tooLargeCode) return new NettlespurError('body-too-large', message, { cause })
  if (!unreadCodes.has(code)) return new NettlespurError('outcome-unknown', message, { cause })
  const reason = `the peer cannot read the call: ${message}`
  return new NettlespurError('version-mismatch', reason, { retryAfterMs, cause })
}

/** Returns tRPC's code of an error that the peer has answered; undefined if it has answered none. */
function readCode(thrown: unknown): unknown {
  if (!(thrown instanceof TRPCClientError)) return undefined
  const data: unknown = thrown.data
  return typeof data === 'object' && data !== null && 'code' in data ? data.code : undefined
}
