/**
 * Listens on one address and answers its routes. Every failure leaves as the error table says; a caller
 * that goes away aborts its request's signal; a planned stop closes idle connections at once and the
 * others after their answer.
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
 * How long a connection may be idle, before its first request too. Callers pause for 15 s between questions;
 * Node's own limit ends a connection 6.0 s after its last answer (measured on Node 20), and a request on its
 * way at that moment is lost. An idle one costs one of some thousand descriptors.
 */
const idleTimeoutMs = 75_000
const millisecondsPerSecond = 1000

export interface TlsFiles {
  readonly cert: Buffer
  readonly key: Buffer
}

export interface HttpServerOptions {
  /** `IP:PORT`; port 0 takes a free one. */
  address: string
  routes: readonly Route[]
  /** Handles every call that no route matches, like a route. */
  handleOther?: Route['handle']
  /** Answers what no route matches; the path is unchanged. */
  fallback?: (request: IncomingMessage, response: ServerResponse) => void
  bodyBytesMax?: number
  headerBytesMax?: number
  tls?: TlsFiles | undefined
  /** Told of each failure of kind `internal`, whose cause callers do not see. */
  onInternalError?: (error: NettlespurError) => void
  /** Told of connections and of those that ended before their answers. */
  connectionWatcher?: ConnectionWatcher
}

export interface HttpServer {
  /** `IP:PORT` as bound. */
  readonly address: string
  readonly port: number
  readonly raw: http.Server
  /** Requests whose answer is not whole yet. */
  inFlight(): number
  /** From now on each answer ends its connection, so that callers go elsewhere for the next one. */
  retire(): void
  /** Stops accepting and resolves when every request in flight has its answer. */
  drain(): Promise<void>
  /** Cuts every connection. */
  destroy(): void
}

/** Errors: rejects where the address cannot be bound. */
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

/** Without this, a connection kept alive would hold up a planned stop until it times out. */
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

/** Undefined where it is none. A path that begins with two slashes names no host. */
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

/** Writes the answer the error table gives; a request whose body was not read loses its connection. */
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
