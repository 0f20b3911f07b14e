/**
 * Makes an HTTP call with a deadline and returns the answer's body as a stream. A failure before any byte of
 * the request could have been sent is `unreachable`; any later one is `outcome-unknown`, since the server
 * may have acted on the request.
 */
import http, { type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import https from 'node:https'
import { setDeadline, type Clock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import type { EitherAsync } from 'purify-ts'

export interface OpenHttpOptions {
  clock: Clock
  /** `IP:PORT`. */
  address: string
  method: string
  path: string
  headers?: Readonly<Record<string, string>>
  body?: Buffer | string
  /** Limit for the whole call, including reading the answer's body. */
  timeoutMs: number
  signal?: AbortSignal | undefined
  agent?: http.Agent | undefined
  /** Certificate authority that signed the server's certificate. If set, the call uses TLS. */
  ca?: Buffer | undefined
  /** Called when the deadline passes before the answer is complete, just before the call is aborted. */
  onTimeout?: (() => void) | undefined
}

/**
 * An answer whose body is not read yet. The caller must read or destroy the stream, which emits an error if
 * the body ends early.
 */
export interface StreamedAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly stream: IncomingMessage
}

/** Resolves once the answer's status and headers are received. Errors: `unreachable`, `outcome-unknown`. */
export function openHttp(opts: OpenHttpOptions): EitherAsync<NettlespurError, StreamedAnswer> {
  return tryAsync(() => sendRequest(opts))
}

/** Creates the error of a failed call whose request may have been sent. */
export function createOutcomeUnknownError(opts: OpenHttpOptions, cause: Error): NettlespurError {
  return toCallError(opts, true, cause)
}

function sendRequest(opts: OpenHttpOptions): Promise<StreamedAnswer> {
  return new Promise((resolve, reject) => {
    const progress = { mayHaveBeenSent: false }
    const request = createRequest(opts)
    let destroyWith = (cause: Error): void => {
      request.destroy(cause)
    }
    const timer = setDeadline(opts.clock, opts.timeoutMs, () => {
      opts.onTimeout?.()
      destroyWith(new Error(`no whole answer within ${opts.timeoutMs} ms`))
    })
    const abort = (): void => {
      destroyWith(new Error('the call was given up'))
    }
    const releaseDeadline = (): void => {
      timer.cancel()
      opts.signal?.removeEventListener('abort', abort)
    }
    trackSending(request, opts, progress)
    request.on('error', (cause) => {
      releaseDeadline()
      reject(toCallError(opts, progress.mayHaveBeenSent, cause))
    })
    request.on('response', (stream) => {
      destroyWith = (cause) => {
        stream.destroy(cause)
      }
      stream.once('close', releaseDeadline)
      resolve({ status: stream.statusCode ?? 0, headers: stream.headers, stream })
    })
    opts.signal?.addEventListener('abort', abort, { once: true })
    if (opts.signal?.aborted === true) abort()
    request.end(opts.body)
  })
}

/** Sets `progress.mayHaveBeenSent` once the connection can carry bytes of the request. */
function trackSending(
  request: http.ClientRequest,
  opts: OpenHttpOptions,
  progress: { mayHaveBeenSent: boolean },
): void {
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      progress.mayHaveBeenSent = true
      return
    }
    // With TLS, no byte of the request is sent before the server's certificate is accepted.
    socket.once(opts.ca === undefined ? 'connect' : 'secureConnect', () => {
      progress.mayHaveBeenSent = true
    })
  })
}

function createRequest(opts: OpenHttpOptions): http.ClientRequest {
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

function toCallError(
  opts: OpenHttpOptions,
  mayHaveBeenSent: boolean,
  cause: Error,
): NettlespurError {
  const call = `${opts.method} ${opts.address}${opts.path}`
  const kind = mayHaveBeenSent ? 'outcome-unknown' : 'unreachable'
  return new NettlespurError(kind, `${call}: ${cause.message}`, { cause })
}
