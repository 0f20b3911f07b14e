/**
 * One HTTP call with a deadline and a bounded answer. A failure before any byte could have left is
 * `unreachable`; any later one is `outcome-unknown`, since the other side may have acted on it.
 */
import http, { type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import https from 'node:https'
import type { Clock } from '@nettlespur/core.clock'
import { errorBodySchema, fromErrorBody, NettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

const defaultAnswerBytesMax = 16_777_216

export interface CallHttpOptions {
  clock: Clock
  /** `IP:PORT`. */
  address: string
  method: string
  path: string
  headers?: Readonly<Record<string, string>>
  body?: Buffer | string
  /** Over the whole call, in milliseconds. */
  timeoutMs: number
  signal?: AbortSignal | undefined
  agent?: http.Agent | undefined
  /** Authority that signed the other side's certificate: set, it makes the call use TLS. */
  ca?: Buffer | undefined
  answerBytesMax?: number
  /** Told when the call ends because its deadline passed in silence. */
  onTimeout?: (() => void) | undefined
}

export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** The whole answer, whatever its status. Errors: `unreachable`, `outcome-unknown`. */
export function callHttp(opts: CallHttpOptions): EitherAsync<NettlespurError, HttpAnswer> {
  return tryAsync(() => exchange(opts))
}

/** The error that a non-2xx answer of one of our own processes or of an upstream stands for. */
export function toAnswerError(answer: HttpAnswer): NettlespurError {
  try {
    const body = errorBodySchema.safeParse(JSON.parse(answer.body.toString('utf8')))
    if (body.success) return fromErrorBody(body.data)
  } catch {
    // Not one of ours: told by its status below.
  }
  return new NettlespurError('outcome-unknown', `the other side answered ${answer.status}`)
}

function exchange(opts: CallHttpOptions): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    const progress = { mayHaveLeft: false }
    const request = openRequest(opts)
    const timer = opts.clock.setTimer(opts.timeoutMs, () => {
      opts.onTimeout?.()
      request.destroy(new Error(`no whole answer within ${opts.timeoutMs} ms`))
    })
    const abort = (): void => {
      request.destroy(new Error('the call was given up'))
    }
    const fail = (cause: Error): void => {
      timer.cancel()
      opts.signal?.removeEventListener('abort', abort)
      reject(toCallError(opts, progress.mayHaveLeft, cause))
    }
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        progress.mayHaveLeft = true
        return
      }
      // Over TLS nothing of the call leaves before the other side's certificate is accepted.
      socket.once(opts.ca === undefined ? 'connect' : 'secureConnect', () => {
        progress.mayHaveLeft = true
      })
    })
    request.on('error', fail)
    request.on('response', (response) => {
      collect(response, opts.answerBytesMax ?? defaultAnswerBytesMax).then((body) => {
        timer.cancel()
        opts.signal?.removeEventListener('abort', abort)
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body })
      }, fail)
    })
    opts.signal?.addEventListener('abort', abort, { once: true })
    if (opts.signal?.aborted === true) abort()
    request.end(opts.body)
  })
}

function openRequest(opts: CallHttpOptions): http.ClientRequest {
  const separator = opts.address.lastIndexOf(':')
  const length =
    opts.body === undefined ? {} : { 'content-length': String(Buffer.byteLength(opts.body)) }
  const target = {
    host: opts.address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(opts.address.slice(separator + 1)),
    method: opts.method,
    path: opts.path,
    headers: { ...length, ...opts.headers },
    ...(opts.agent === undefined ? {} : { agent: opts.agent }),
  }
  return opts.ca === undefined ? http.request(target) : https.request({ ...target, ca: opts.ca })
}

async function collect(response: IncomingMessage, answerBytesMax: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > answerBytesMax) throw new Error(`the answer is larger than ${answerBytesMax} bytes`)
    chunks.push(chunk)
  }
  if (!response.complete) throw new Error('the answer was cut short')
  return Buffer.concat(chunks)
}

function toCallError(opts: CallHttpOptions, mayHaveLeft: boolean, cause: Error): NettlespurError {
  const call = `${opts.method} ${opts.address}${opts.path}`
  const kind = mayHaveLeft ? 'outcome-unknown' : 'unreachable'
  return new NettlespurError(kind, `${call}: ${cause.message}`, { cause })
}
