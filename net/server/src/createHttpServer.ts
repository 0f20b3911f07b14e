/**
 * Serves routes over HTTP or HTTPS on one address. Every failure is answered with the status and body that the
 * error table defines for its kind. If a caller disconnects, the signal of its request is aborted. A graceful
 * shutdown closes idle connections immediately and the others after their answers.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import https from 'node:https'
import type { AddressInfo } from 'node:net'
import { finished } from 'node:stream/promises'
import {
  NettlespurError,
  toErrorBody,
  toNettlespurError,
  tryAsync,
  unwrap,
} from '@nettlespur/core.errors'
import { watchConnections, type ConnectionWatcher } from './connectionWatch.js'
import { answerClientError } from './answerClientError.js'
import { HttpRequest } from './httpRequest.js'
import { matchRoute, type HttpReply, type Route } from './route.js'

const defaultBodyBytesMax = 1_048_576
const defaultHeaderBytesMax = 16_384
/**
 * How long a connection may be idle, both before its first request and between requests. It must exceed the
 * 15 s that callers pause between requests: a request that is in transit when the server closes the connection
 * is lost. With Node's default, Node 20 closes a connection 6.0 s after its last answer. An idle connection
 * costs one file descriptor, of some thousand.
 */
const idleTimeoutMs = 75_000
const millisecondsPerSecond = 1000

export interface TlsFiles {
  readonly cert: Buffer
  readonly key: Buffer
}

export interface HttpServerOptions {
  /** `IP:PORT`; with port 0 the system picks a free port. */
  address: string
  routes: readonly Route[]
  /** Handles requests that no route matches, in the way of a route. Not used if `fallback` is set. */
  handleOther?: Route['handle']
  /** Answers requests that no route matches with Node's own objects; the path is unchanged. */
  fallback?: (request: IncomingMessage, response: ServerResponse) => void
  bodyBytesMax?: number
  headerBytesMax?: number
  tls?: TlsFiles | undefined
  /** Called for each failure of kind `internal`, whose cause is not sent to callers. */
  onInternalError?: (error: NettlespurError) => void
  connectionWatcher?: ConnectionWatcher
}

export interface HttpServer {
  /** `IP:PORT` that the server is bound to. */
  readonly address: string
  readonly port: number
  readonly raw: http.Server
  /** Returns the number of requests whose answers are not complete yet. */
  inFlight(): number
  /** Makes each answer not begun yet close its connection, so that callers send their next requests elsewhere. */
  retire(): void
  /** Stops accepting connections and resolves when every request in flight is answered. */
  drain(): Promise<void>
  /** Closes every connection immediately, without waiting for answers. */
  destroy(): void
}

/** Resolves once the server listens; rejects if the address cannot be bound. */
export async function createHttpServer(opts: HttpServerOptions): Promise<HttpServer> {
  const openResponses = new Set<ServerResponse>()
  let retired = false
  const server = createServer(opts, (request, response) => {
    openResponses.add(response)
    response.once('close', () => {
      openResponses.delete(response)
    })
    if (retired) closeConnectionAfterResponse(response)
    void handleRequest(opts, request, response)
  })
  const retire = (): void => {
    retired = true
    openResponses.forEach(closeConnectionAfterResponse)
  }
  server.on('clientError', answerClientError)
  if (opts.connectionWatcher !== undefined) watchConnections(server, opts.connectionWatcher)
  await listen(server, opts.address)
  const bound = server.address() as AddressInfo
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address
  return {
    address: `${host}:${bound.port}`,
    port: bound.port,
    raw: server,
    inFlight: () => openResponses.size,
    retire,
    drain: () => {
      retire()
      return closeServer(server)
    },
    destroy: () => {
      server.closeAllConnections()
    },
  }
}

/** Otherwise a kept-alive connection would delay a graceful shutdown until its idle timeout. */
function closeConnectionAfterResponse(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}

function createServer(opts: HttpServerOptions, listener: http.RequestListener): http.Server {
  const limits = {
    maxHeaderSize: opts.headerBytesMax ?? defaultHeaderBytesMax,
    headersTimeout: idleTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
  }
  if (opts.tls === undefined) return http.createServer(limits, listener)
  return https.createServer({ ...limits, ...opts.tls }, listener)
}

async function handleRequest(
  opts: HttpServerOptions,
  raw: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = readUrl(raw)
  if (url === undefined) {
    writeError(response, createUnknownRouteError(raw))
    return
  }
  const matched = matchRoute(opts.routes, raw.method ?? '', url.pathname)
  if (matched === undefined && opts.fallback !== undefined) {
    opts.fallback(raw, response)
    return
  }
  const callerGone = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) callerGone.abort()
  })
  const bodyBytesMax = opts.bodyBytesMax ?? defaultBodyBytesMax
  try {
    const handle = matched?.route.handle ?? opts.handleOther
    if (handle === undefined) throw createUnknownRouteError(raw)
    const request = new HttpRequest({
      raw,
      url,
      params: matched?.params ?? {},
      bodyBytesMax,
      callerGone: callerGone.signal,
    })
    const reply = await unwrap(tryAsync(() => unwrap(handle(request))))
    await writeReply(response, reply)
  } catch (thrown) {
    const error = toNettlespurError(thrown)
    if (error.kind === 'internal') opts.onInternalError?.(error)
    writeError(response, error)
  }
}

/**
 * Returns undefined if the request's URL is not valid. The host is prepended to a path as text, since
 * `new URL(path, base)` would take what follows two leading slashes for a host.
 */
function readUrl({ url = '/' }: IncomingMessage): URL | undefined {
  const text = url.startsWith('/') ? `http://localhost${url}` : url
  return URL.canParse(text) ? new URL(text) : undefined
}

function createUnknownRouteError(raw: IncomingMessage): NettlespurError {
  return new NettlespurError('unknown-route', `no such call: ${raw.method ?? ''} ${raw.url ?? ''}`)
}

async function writeReply(response: ServerResponse, reply: HttpReply): Promise<void> {
  if (reply.json !== undefined) {
    writeBytes(
      response,
      reply.status,
      { 'content-type': 'application/json', ...reply.headers },
      JSON.stringify(reply.json),
    )
    return
  }
  if (reply.stream === undefined) {
    writeBytes(response, reply.status, reply.headers ?? {}, reply.bytes ?? '')
    return
  }
  response.writeHead(reply.status, reply.headers)
  reply.stream.pipe(response)
  reply.stream.once('error', () => response.destroy())
  response.once('close', () => reply.stream?.destroy())
  await finished(response).catch(() => undefined)
}

function writeBytes(
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>>,
  bytes: Buffer | string,
): void {
  const body = Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes)
  response.writeHead(status, { 'content-length': body.length, ...headers })
  response.end(body)
}

/**
 * Answers with the status and body that the error table defines for the error. Closes the connection if the
 * request's body was not read completely, or at once if an answer has already begun.
 */
export function writeError(response: ServerResponse, error: NettlespurError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterMs / millisecondsPerSecond))
  }
  if (!response.req.complete) headers.connection = 'close'
  writeBytes(response, error.answer.httpStatus, headers, JSON.stringify(toErrorBody(error)))
}

function listen(server: http.Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port: Number(address.slice(separator + 1)) }, resolve)
  })
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeIdleConnections()
  })
}
