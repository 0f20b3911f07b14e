/** The request passed to a route: path and query are parsed, and the body is read on demand, up to a size limit. */
import type { IncomingMessage } from 'node:http'
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { BodyTooLargeError, readWholeBody } from '@nettlespur/net.body'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'

export interface HttpRequestOptions {
  raw: IncomingMessage
  url: URL
  params: Readonly<Record<string, string>>
  bodyBytesMax: number
  /** Aborted if the caller disconnects before its answer is complete. */
  callerGone: AbortSignal
}

export class HttpRequest {
  readonly raw: IncomingMessage
  readonly params: Readonly<Record<string, string>>
  /** Path of the URL without the query, still percent-encoded. */
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

  /** Returns the value of a header given in lower case, or undefined if it is absent. */
  header(name: string): string | undefined {
    const value = this.raw.headers[name]
    return Array.isArray(value) ? value.join(', ') : value
  }

  /** Returns the decoded value of a `:name` part of the path, or '' if the route has no such part. */
  param(name: string): string {
    return this.params[name] ?? ''
  }

  /** Reads the whole body. Errors: `body-too-large`, or `malformed-json` if the body ends early. */
  readBody(): EitherAsync<NettlespurError, Buffer> {
    return EitherAsync.fromPromise(() => this.#collect())
  }

  /**
   * Reads the body as JSON and validates it. Errors: those of `readBody`, `malformed-json`, `unknown-field`,
   * `invalid-field`.
   */
  readJson<T>(schema: z.ZodType<T>): EitherAsync<NettlespurError, T> {
    return this.readBody()
      .chain((body) => EitherAsync.liftEither(parseJson(body)))
      .chain((value) => EitherAsync.liftEither(parseValue(schema, value)))
  }

  async #collect(): Promise<Either<NettlespurError, Buffer>> {
    const declaredBytes = Number(this.header('content-length') ?? 0)
    if (declaredBytes > this.#bodyBytesMax) return Left(this.#createTooLargeError())
    try {
      return Right(await readWholeBody(this.raw, this.#bodyBytesMax))
    } catch (cause) {
      if (cause instanceof BodyTooLargeError) return Left(this.#createTooLargeError())
      return Left(new NettlespurError('malformed-json', 'the body ended early', { cause }))
    }
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
