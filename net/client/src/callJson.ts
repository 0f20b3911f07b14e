/** Makes HTTP calls whose request and answer bodies are JSON, and converts non-2xx answers to errors. */
import { parseValue } from '@nettlespur/api.schemas'
import type { NettlespurError } from '@nettlespur/core.errors'
import { parseJson } from '@nettlespur/net.server'
import { EitherAsync, Left, type Either } from 'purify-ts'
import type { z } from 'zod'
import { callHttp, toAnswerError, type CallHttpOptions, type HttpAnswer } from './callHttp.js'

export interface CallJsonOptions<T> extends Omit<CallHttpOptions, 'body'> {
  json?: unknown
  /** Schema of a 2xx answer's body. */
  answer: z.ZodType<T>
}

/**
 * Resolves with the parsed body of a 2xx answer. Errors: those of `callHttp`, the error that the server
 * answered, and `outcome-unknown` if the body of a 2xx answer does not match the schema.
 */
export function callJson<T>(opts: CallJsonOptions<T>): EitherAsync<NettlespurError, T> {
  const { json, answer, ...call } = opts
  const body = json === undefined ? {} : { body: JSON.stringify(json) }
  const headers = {
    ...call.headers,
    ...(json === undefined ? {} : { 'content-type': 'application/json' }),
  }
  return callHttp({ ...call, ...body, headers }).chain((received) =>
    EitherAsync.liftEither(readAnswer(received, answer)),
  )
}

function readAnswer<T>(received: HttpAnswer, schema: z.ZodType<T>): Either<NettlespurError, T> {
  if (received.status < 200 || received.status > 299) return Left(toAnswerError(received))
  return parseJson(received.body)
    .chain((value) => parseValue(schema, value))
    .mapLeft(() => toAnswerError({ ...received, body: Buffer.from('') }))
}
