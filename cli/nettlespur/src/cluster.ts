/** The cluster as the command line reaches it: one entry, with a key and a deadline for each call. */
import { addressSchema } from '@nettlespur/api.schemas'
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError, unwrap, unwrapEither } from '@nettlespur/core.errors'
import { callHttp, toAnswerError, type HttpAnswer } from '@nettlespur/net.client'
import { formatBearerKey, readKeyFile } from '@nettlespur/net.keys'
import type { z } from 'zod'
import type { CommonArgValues } from './commonArgs.js'
import { readCount, readFileOf } from './readArgs.js'
import { createUsageError } from './usageError.js'

const endpointPattern = /^(https?):\/\/([^/]+)\/?$/

export interface ClusterCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Readonly<Record<string, string>>
  json?: unknown
  body?: Buffer
  /** Added to the deadline where the other side may wait before it answers, in milliseconds. */
  waitMs?: number
}

/** An answer of a known form, beside its own text. */
export interface ClusterAnswer<T> {
  readonly status: number
  readonly text: string
  readonly value: T
}

export class Cluster {
  /** Whether results are to be printed as JSON. */
  readonly json: boolean
  readonly clock = new SystemClock()
  readonly #address: string
  readonly #timeoutMs: number
  readonly #ca: Buffer | undefined
  readonly #key: string | undefined

  /** Errors: throws `invalid-usage` and `invalid-settings`. */
  constructor(args: CommonArgValues) {
    const endpoint = readEndpoint(args.endpoint)
    this.#address = endpoint.address
    this.#ca = readAuthority(endpoint.usesTls, args['ca-file'])
    this.#timeoutMs = readCount('--timeout-ms', args['timeout-ms'], { least: 1 })
    this.#key = args['key-file'] === undefined ? undefined : readFirstKey(args['key-file'])
    this.json = args.json === true
  }

  /** A 2xx answer. Errors: throws what the cluster answered, `unreachable` or `outcome-unknown`. */
  async call(call: ClusterCall): Promise<HttpAnswer> {
    const body = call.json === undefined ? call.body : JSON.stringify(call.json)
    const request = callHttp({
      clock: this.clock,
      address: this.#address,
      method: call.method,
      path: call.path,
      headers: this.#createHeaders(call),
      ...(body === undefined ? {} : { body }),
      timeoutMs: this.#timeoutMs + (call.waitMs ?? 0),
      ca: this.#ca,
    }).mapLeft((error) => addReachHint(call.method === 'GET' ? toReadError(error) : error))
    const answer = await unwrap(request)
    if (answer.status < 200 || answer.status > 299) throw toAnswerError(answer)
    return answer
  }

  /** Errors: also throws `outcome-unknown` for an answer of another form. */
  async callFor<T>(schema: z.ZodType<T>, call: ClusterCall): Promise<ClusterAnswer<T>> {
    const answer = await this.call(call)
    const text = answer.body.toString('utf8')
    return { status: answer.status, text, value: readAnswer(schema, text) }
  }

  #createHeaders(call: ClusterCall): Record<string, string> {
    return {
      ...(call.json === undefined ? {} : { 'content-type': 'application/json' }),
      ...(this.#key === undefined ? {} : { authorization: formatBearerKey(this.#key) }),
      ...call.headers,
    }
  }
}

/** A read that got no whole answer has changed nothing, so its outcome is not in doubt. */
function toReadError(error: NettlespurError): NettlespurError {
  if (error.kind !== 'outcome-unknown') return error
  const hint = 'nothing was changed: ask again, or through another entry with --endpoint'
  return new NettlespurError('unreachable', error.message, { hint, cause: error })
}

function addReachHint(error: NettlespurError): NettlespurError {
  if (error.kind !== 'unreachable' || error.hint !== undefined) return error
  const hint = 'nothing was sent: is an entry running there? --endpoint names another'
  return new NettlespurError('unreachable', error.message, { hint, cause: error })
}

function readAnswer<T>(schema: z.ZodType<T>, text: string): T {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    if (parsed.success) return parsed.data
  } catch {
    // Told below, like JSON of another form.
  }
  throw new NettlespurError('outcome-unknown', 'the answer is not of the form expected', {
    hint: 'is --endpoint an entry of the same version?',
  })
}

function readEndpoint(endpoint: string): { address: string; usesTls: boolean } {
  const match = endpointPattern.exec(endpoint)
  const address = match?.[2] ?? ''
  if (match !== null && addressSchema.safeParse(address).success) {
    return { address, usesTls: match[1] === 'https' }
  }
  throw createUsageError(
    `--endpoint must be http:// or https://, an IP number and a port, given "${endpoint}"`,
    'such as http://127.0.0.1:7400; names are not looked up',
  )
}

function readAuthority(usesTls: boolean, file: string | undefined): Buffer | undefined {
  if (usesTls && file === undefined) throw createUsageError('an https --endpoint needs --ca-file')
  if (!usesTls && file !== undefined) throw createUsageError('--ca-file needs an https --endpoint')
  return file === undefined ? undefined : readFileOf('--ca-file', file)
}

/** Errors: throws `invalid-settings`. */
function readFirstKey(file: string): string | undefined {
  return unwrapEither(readKeyFile(file))[0]
}
