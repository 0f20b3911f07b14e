/** Runs one call of a peer and tells its failure by the error table. */
import {
  fromRpcResult,
  NettlespurError,
  toNettlespurError,
  type RpcResult,
} from '@nettlespur/core.errors'
import { TRPCClientError } from '@trpc/client'
import { EitherAsync } from 'purify-ts'

/** Runs one procedure that answers with an RpcResult. Errors: the procedure's own, `unreachable`, `outcome-unknown`. */
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
