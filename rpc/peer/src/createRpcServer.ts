/**
 * Serves one tRPC router to the other processes of the cluster. Every call must carry the cluster's peer
 * key; what is not a call of the router is answered by the error table.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { AnyTRPCRouter } from '@trpc/server'
import {
  createUnauthorizedError,
  hashKey,
  matchesAnyHash,
  readBearerKey,
} from '@nettlespur/http.keys'
import {
  createHttpServer,
  writeError,
  type HttpServer,
  type TlsFiles,
} from '@nettlespur/http.server'

const rpcBodyBytesMax = 8_388_608

export interface RpcServerOptions {
  /** `IP:PORT`; port 0 takes a free one. */
  address: string
  router: AnyTRPCRouter
  /** Keys of which any is accepted. */
  peerKeys: readonly string[]
  tls?: TlsFiles | undefined
}

/** Errors: rejects where the address cannot be bound. */
export function createRpcServer(opts: RpcServerOptions): Promise<HttpServer> {
  const handle = createHTTPHandler({ router: opts.router, maxBodySize: rpcBodyBytesMax })
  const hashes = opts.peerKeys.map((key) => hashKey(key))
  const fallback = (request: IncomingMessage, response: ServerResponse): void => {
    const accepted = matchesAnyHash(readBearerKey(request.headers.authorization), hashes)
    if (accepted) handle(request, response)
    else writeError(response, createUnauthorizedError())
  }
  return createHttpServer({ address: opts.address, routes: [], fallback, tls: opts.tls })
}
