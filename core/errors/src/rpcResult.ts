/**
 * The form in which a procedure between our processes answers: a value, or an error body. It keeps the
 * error table in charge on both sides whatever transport carries it.
 */
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { fromErrorBody, toErrorBody, type ErrorBody } from './errorBody.js'
import { NettlespurError, toNettlespurError } from './nettlespurError.js'

export type RpcResult<T> = { ok: true; value: T } | { ok: false; error: ErrorBody }

/** Runs an EitherAsync and gives its outcome in wire form. */
export async function toRpcResult<T>(run: EitherAsync<NettlespurError, T>): Promise<RpcResult<T>> {
  const outcome = await run.run()
  return outcome.caseOf<RpcResult<T>>({
    Left: (error) => ({ ok: false, error: toErrorBody(toNettlespurError(error)) }),
    Right: (value) => ({ ok: true, value }),
  })
}

/** Reads an outcome back from its wire form. */
export function fromRpcResult<T>(result: RpcResult<T>): Either<NettlespurError, T> {
  return result.ok ? Right(result.value) : Left(fromErrorBody(result.error))
}

/** Turns a promise that may throw into an EitherAsync of NettlespurError. */
export function tryAsync<T>(run: () => Promise<T>): EitherAsync<NettlespurError, T> {
  return EitherAsync(run).mapLeft(toNettlespurError)
}

/** Waits for an EitherAsync and throws its error: the way back into straight-line code. */
export async function unwrap<T>(run: EitherAsync<NettlespurError, T>): Promise<T> {
  const outcome = await run.run()
  if (outcome.isRight()) return outcome.extract()
  throw toNettlespurError(outcome.extract())
}
