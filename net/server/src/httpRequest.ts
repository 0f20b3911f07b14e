/** One request as a route sees it: parts already split, body read only when asked for, within the limit. */
import type { IncomingMessage } from 'node:http'
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'

export interface HttpRequestOptions {
  raw: IncomingMessage
  url: URL
  params: Readonly<Record<string, string>>
  bodyBytesMax: number
  /** Aborted when the caller goes away before its answer is whole. */
  callerGone: AbortSignal
}

export class HttpRequest {
  readonly raw: IncomingMessage
  readonly params: Readonly<Record<string, string>>
  /** As sent, without the query. */
  readonly path: string
  readonly query: URLSearchParams
  readonly callerGone: AbortSignal
  readonly #bodyBytesMax: number

  constructor(opts: HttpRequestOptions) {
    this.raw = opts.raw
    this.params = opts.params
    this.path = opts.url.pathname
    this.query = opts.url.searchParams
    this.callerGone = opts.callerGone
    this.#bodyBytesMax = opts.bodyBytesMax
  }

  /** One header's value; undefined where it is absent. */
  header(name: string): string | undefined {
    const value = this.raw.headers[name]
    return Array.isArray(value) ? value.join(', ') : value
  }

  /** One part of the path; empty where the route has no such part. */
  param(name: string): string {
    return this.params[name] ?? ''
  }

  /** The whole body. Errors: `body-too-large`, `malformed-json` for a body cut off by its caller. */
  readBody(): EitherAsync<NettlespurError, Buffer> {
    return EitherAsync.fromPromise(() => this.#collect())
  }

  /** The body as JSON checked by a schema. Errors: also `unknown-field` and `invalid-field`. */
  readJson<T>(schema: z.ZodType<T>): EitherAsync<NettlespurError, T> {
    return this.readBody()
      .chain((body) => EitherAsync.liftEither(parseJson(body)))
      .chain((value) => EitherAsync.liftEither(parseValue(schema, value)))
  }

  async #collect(): Promise<Either<NettlespurError, Buffer>> {
    const declaredBytes = Number(this.header('content-length') ?? 0)
    if (declaredBytes > this.#bodyBytesMax) return Left(this.#createTooLargeError())
    const chunks: Buffer[] = []
    let size = 0
    try {
      for await (const chunk of this.raw as AsyncIterable<Buffer>) {
        size += chunk.length
        if (size > this.#bodyBytesMax) return Left(this.#createTooLargeError())
        chunks.push(chunk)
      }
    } catch (cause) {
      return Left(new NettlespurError('malformed-json', 'the body ended early', { cause }))
    }
    return Right(Buffer.concat(chunks))
  }

  #createTooLargeError(): NettlespurError {
    const message = `the body is larger than ${this.#bodyBytesMax} bytes`
    return new NettlespurError('body-too-large', message)
  }
}

/** Errors: `malformed-json`. */
export function parseJson(body: Buffer): Either<NettlespurError, unknown> {
  try {
    return Right(JSON.parse(body.toString('utf8')) as unknown)
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : 'not JSON'
    return Left(new NettlespurError('malformed-json', `the body is not JSON: ${message}`))
  }
}
