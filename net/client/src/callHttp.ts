/** Makes an HTTP call with a deadline and reads the whole answer into memory, up to a size limit. */
import type { IncomingHttpHeaders } from 'node:http'
import { errorBodySchema, fromErrorBody, NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { readWholeBody } from '@nettlespur/net.body'
import type { EitherAsync } from 'purify-ts'
import { createOutcomeUnknownError, openHttp, type OpenHttpOptions } from './openHttp.js'

const defaultAnswerBytesMax = 16_777_216

export interface CallHttpOptions extends OpenHttpOptions {
  answerBytesMax?: number
}

export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Resolves with the whole answer, whatever its status. Errors: `unreachable`, `outcome-unknown`. */
export function callHttp(opts: CallHttpOptions): EitherAsync<NettlespurError, HttpAnswer> {
  return openHttp(opts).chain(({ status, headers, stream }) =>
    tryAsync(() => readWholeBody(stream, opts.answerBytesMax ?? defaultAnswerBytesMax))
      .mapLeft((error) => createOutcomeUnknownError(opts, error))
      .map((body) => ({ status, headers, body })),
  )
}

/**
 * Converts a non-2xx answer to an error: the one in its body if that is an error body of this project,
 * otherwise `outcome-unknown` with the status.
 */
export function toAnswerError(answer: HttpAnswer): NettlespurError {
  try {
    const body = errorBodySchema.safeParse(JSON.parse(answer.body.toString('utf8')))
    if (body.success) return fromErrorBody(body.data)
  } catch {
    // Not JSON, so not an error body of this project: the status is reported below.
  }
  return new NettlespurError('outcome-unknown', `the other side answered ${answer.status}`)
}
