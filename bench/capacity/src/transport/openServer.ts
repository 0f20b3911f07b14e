/** Serves the compared router by one transport, and counts the bytes of its sockets. */
import http from 'node:http'
import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import { createRpcServer } from '@nettlespur/rpc.peer'
import { applyWSSHandler } from '@trpc/server/adapters/ws'
import { WebSocketServer } from 'ws'
import type { PeerRouter } from './peerRouter.js'
import type { TransportKind } from './transportKind.js'
import { v8Encoder } from './v8Encoder.js'

const host = '127.0.0.1'

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
  if (!kind.startsWith('websocket')) {
    const server = await createRpcServer({ address: `${host}:0`, router, peerKeys: [peerKey] })
    return { address: server.address, countBytes: countSockets(server.raw) }
  }
  const raw = http.createServer()
  const countBytes = countSockets(raw)
  const perMessageDeflate = kind === 'websocket-deflate' ? { threshold: 0 } : false
  const wss = new WebSocketServer({ server: raw, perMessageDeflate })
  const codec = kind === 'websocket-v8' ? { experimental_encoder: v8Encoder } : {}
  applyWSSHandler({ wss, router, ...codec })
  raw.listen(0, host)
  await once(raw, 'listening')
  return { address: `${host}:${(raw.address() as AddressInfo).port}`, countBytes }
}

function countSockets(server: http.Server): () => number {
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => sockets.add(socket))
  return () =>
    [...sockets].reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0)
}
