/**
 * Calls the tRPC router of one peer over a WebSocket, with a deadline on each call. The connection is opened on
 * demand. If it receives no message between the start of a call and its deadline, it is terminated, and the next
 * call opens a new one. An unreachable peer or an incomplete answer is reported as an error of the error table.
 */
import { createTRPCClient, TRPCClientError, type TRPCClient, type TRPCLink } from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { observable } from '@trpc/server/observable'
import { PeerCalls } from './peerCalls.js'
import type { RpcClientOptions } from './rpcClientOptions.js'

export interface RpcClient<R extends AnyTRPCRouter> {
  readonly call: TRPCClient<R>
  /** Closes all connections to the peer; calls in progress fail. */
  close(): void
}

export function createRpcClient<R extends AnyTRPCRouter>(opts: RpcClientOptions): RpcClient<R> {
  const calls = new PeerCalls(opts)
  const link: TRPCLink<R> = (runtime) => {
    return ({ op }) =>
      observable((observer) => {
        calls.run(runtime, op).then(
          (result) => {
            observer.next(result as never)
            observer.complete()
          },
          (thrown: unknown) => {
            observer.error(TRPCClientError.from(thrown as Error))
          },
        )
        return undefined
      })
  }
  return {
    call: createTRPCClient<R>({ links: [link] }),
    close: () => {
      calls.close()
    },
  }
}
