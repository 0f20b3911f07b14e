/**
 * Serves one tRPC router to the other processes of the cluster over WebSockets. An upgrade request without a
 * valid peer key is refused with `unauthorized`; plain HTTP requests get an error of the error table.
 */
import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { toErrorBody } from '@nettlespur/core.errors'
import {
  createUnauthorizedError,
  hashKey,
  matchesAnyHash,
  readBearerKey,
} from '@nettlespur/net.keys'
import { createHttpServer, type HttpServer, type TlsFiles } from '@nettlespur/net.server'
import type { AnyTRPCRouter } from '@trpc/server'
import { WebSocketServer } from 'ws'
import { compression, messageBytesMax } from './messageCodec.js'
import { ServedConnection } from './servedConnection.js'

export interface RpcServerOptions {
  /** `IP:PORT` to listen on; port 0 picks a free port. */
  address: string
  router: AnyTRPCRouter
  /** A connection is accepted with any one of these keys. */
  peerKeys: readonly string[]
  tls?: TlsFiles | undefined
}

/** Errors: rejects if the address cannot be bound. */
export async function createRpcServer(opts: RpcServerOptions): Promise<HttpServer> {
  const server = await createHttpServer({ address: opts.address, routes: [], tls: opts.tls })
  const connections = serveConnections(opts, server)
  const drain = async (): Promise<void> => {
    const closed = server.drain()
    await Promise.all([...connections].map((connection) => connection.drain()))
    await closed
  }
  return {
    ...server,
    inFlight: () => [...connections].reduce((sum, { unanswered }) => sum + unanswered, 0),
    drain,
    destroy: () => {
      for (const connection of connections) connection.destroy()
      server.destroy()
    },
  }
}

function serveConnections(
  opts: RpcServerOptions,
  { raw }: HttpServer,
): ReadonlySet<ServedConnection> {
  const connections = new Set<ServedConnection>()
  const hashes = opts.peerKeys.map((key) => hashKey(key))
  const { router } = opts
  const wss = new WebSocketServer({
    noServer: true,
    perMessageDeflate: compression,
    maxPayload: messageBytesMax,
  })
  raw.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
    if (!matchesAnyHash(readBearerKey(request.headers.authorization), hashes)) {
      refuse(socket)
      return
    }
    wss.handleUpgrade(request, socket, head, (opened) => {
      const connection = new ServedConnection({ router, wss, socket: opened, request })
      connections.add(connection)
      void connection.closed.then(() => connections.delete(connection))
    })
  })
  return connections
}

function refuse(socket: Duplex): void {
  const error = createUnauthorizedError()
  const body = JSON.stringify(toErrorBody(error))
  const head = [
    `HTTP/1.1 ${error.answer.httpStatus} Unauthorized`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ]
  socket.on('error', () => socket.destroy())
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
