/** Runs one call to a peer and converts every failure to an error of the error table. */
import {
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  type RpcResult,
} from '@nettlespur/core.errors'
import { TRPCClientError } from '@trpc/client'
import { EitherAsync } from 'purify-ts'

/**
 * Runs one procedure that answers with an RpcResult. Errors: those of the procedure, `unauthorized`, `unreachable`,
 * `outcome-unknown`.
 */
export function callPeer<T>(run: () => Promise<RpcResult<T>>): EitherAsync<NettlespurError, T> {
  return EitherAsync<unknown, RpcResult<T>>(run)
    .mapLeft(toPeerError)
    .chain((result) => EitherAsync.liftEither(fromRpcResult(result)))
}

function toPeerError(thrown: unknown): NettlespurError {
  const cause = thrown instanceof TRPCClientError ? (thrown.cause ?? thrown) : thrown
  if (cause instanceof NettlespurError) return cause
  return new NettlespurError('outcome-unknown', toNettlespurError(cause).message, { cause })
}
