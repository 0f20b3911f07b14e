/** Calls the compared router by one transport. */
import http from 'node:http'
import type { Clock } from '@nettlespur/core.clock'
import { formatBearerKey } from '@nettlespur/net.keys'
import { createRpcClient } from '@nettlespur/rpc.peer'
import {
  createTRPCClient,
  createWSClient,
  httpBatchLink,
  httpBatchStreamLink,
  httpLink,
  splitLink,
  wsLink,
  type TRPCClient,
} from '@trpc/client'
import { WebSocket } from 'ws'
import type { PeerRouter } from './peerRouter.js'
import type { TransportKind } from './transportKind.js'
import { v8Encoder } from './v8Encoder.js'

const socketsMax = 8
const timeoutMs = 5000

export interface OpenCallerOptions {
  clock: Clock
  kind: TransportKind
  address: string
  peerKey: string
}

export function openCaller(opts: OpenCallerOptions): TRPCClient<PeerRouter> {
  const { clock, kind, address, peerKey } = opts
  const url = `http://${address}`
  switch (kind) {
    case 'product':
      return createRpcClient<PeerRouter>({ clock, address, peerKey, timeoutMs }).call
    case 'http': {
      const link = httpLink({ url, fetch: createFetch(peerKey) as never })
      return createTRPCClient<PeerRouter>({ links: [link] })
    }
    case 'http-batch': {
      const common = { url, fetch: createFetch(peerKey) as never }
      // In one batch with a long poll, every other call would get its answer with the poll's.
      const links = [
        splitLink({
          condition: ({ path }) => path === 'watch',
          true: httpLink(common),
          false: httpBatchLink(common),
        }),
      ]
      return createTRPCClient<PeerRouter>({ links })
    }
    case 'http-batch-stream': {
      const link = httpBatchStreamLink({ url, fetch: createFetch(peerKey) as never })
      return createTRPCClient<PeerRouter>({ links: [link] })
    }
    default:
      return openWebSocketCaller(opts)
  }
}

function openWebSocketCaller({ kind, address }: OpenCallerOptions): TRPCClient<PeerRouter> {
  const codec = kind === 'websocket-v8' ? { experimental_encoder: v8Encoder } : {}
  const Socket = kind === 'websocket-deflate' ? WebSocket : PlainWebSocket
  const client = createWSClient({
    url: `ws://${address}`,
    WebSocket: Socket as never,
    ...codec,
  })
  return createTRPCClient<PeerRouter>({ links: [wsLink({ client })] })
}

/** Without compression, as the other side has none. */
class PlainWebSocket extends WebSocket {
  constructor(address: string) {
    super(address, { perMessageDeflate: false })
  }
}

interface FetchInit {
  method?: string
  headers?: Record<string, string>
  body?: string
}

/** The part of fetch that batches and streams need, on Node's http with kept connections. */
function createFetch(peerKey: string) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: socketsMax })
  return (input: unknown, init: FetchInit) =>
    new Promise((resolve, reject) => {
      const body = init.body ?? ''
      const headers = {
        ...init.headers,
        'content-length': Buffer.byteLength(body),
        authorization: formatBearerKey(peerKey),
      }
      const request = http.request(String(input), { method: init.method, headers, agent })
      request.once('error', reject)
      request.once('response', (response) => {
        resolve({
          ok: response.statusCode === 200,
          status: response.statusCode,
          body: response,
          json: () => readJson(response),
        })
      })
      request.end(body)
    })
}

async function readJson(response: http.IncomingMessage): Promise<unknown> {
  const chunks = (await response.toArray()) as Buffer[]
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown
}
