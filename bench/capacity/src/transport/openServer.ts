/** Serves the compared router by one transport, and counts the bytes of its sockets. */
import http from 'node:http'
import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import { hashKey, matchesAnyHash, readBearerKey } from '@nettlespur/net.keys'
import { createRpcServer } from '@nettlespur/rpc.peer'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { applyWSSHandler } from '@trpc/server/adapters/ws'
import { WebSocketServer } from 'ws'
import type { PeerRouter } from './peerRouter.js'
import type { TransportKind } from './transportKind.js'
import { v8Encoder } from './v8Encoder.js'

const host = '127.0.0.1'
const unauthorizedStatus = 401

export interface CountingServer {
  /** `IP:PORT`. */
  readonly address: string
  /** Payload bytes of all connections so far, both ways. */
  countBytes(): number
}

export async function openServer(
  kind: TransportKind,
  router: PeerRouter,
  peerKey: string,
): Promise<CountingServer> {
  if (kind === 'product') {
    const server = await createRpcServer({ address: `${host}:0`, router, peerKeys: [peerKey] })
    return { address: server.address, countBytes: countSockets(server.raw) }
  }
  const raw = kind.startsWith('http') ? createKeyedHttpServer(router, peerKey) : http.createServer()
  const countBytes = countSockets(raw)
  if (kind.startsWith('websocket')) attachWebSockets(raw, kind, router)
  raw.listen(0, host)
  await once(raw, 'listening')
  return { address: `${host}:${(raw.address() as AddressInfo).port}`, countBytes }
}

/** With the key of each call checked, as every call over HTTP has to show it. */
function createKeyedHttpServer(router: PeerRouter, peerKey: string): http.Server {
  const handle = createHTTPHandler({ router })
  const hashes = [hashKey(peerKey)]
  return http.createServer((request, response) => {
    if (matchesAnyHash(readBearerKey(request.headers.authorization), hashes)) {
      handle(request, response)
    } else {
      response.writeHead(unauthorizedStatus).end()
    }
  })
}

function attachWebSockets(raw: http.Server, kind: TransportKind, router: PeerRouter): void {
  const perMessageDeflate = kind === 'websocket-deflate' ? { threshold: 0 } : false
  const wss = new WebSocketServer({ server: raw, perMessageDeflate })
  const codec = kind === 'websocket-v8' ? { experimental_encoder: v8Encoder } : {}
  applyWSSHandler({ wss, router, ...codec })
}

function countSockets(server: http.Server): () => number {
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => sockets.add(socket))
  return () =>
    [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0)
}
