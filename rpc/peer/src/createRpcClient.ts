/**
 * Calls one peer's tRPC router over one WebSocket, with a deadline on each call. The connection is opened
 * on demand; one on which nothing came between a call and its deadline is cut, and the next call opens a
 * new one. A peer that cannot be reached, or does not answer whole, is an error of the table.
 */
import { setDeadline, type Clock, type Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import {
  createTRPCClient,
  TRPCClientError,
  wsLink,
  type Operation,
  type OperationResultEnvelope,
  type TRPCClient,
  type TRPCClientRuntime,
  type TRPCLink,
} from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { observable, observableToPromise } from '@trpc/server/observable'
import { PeerConnection } from './peerConnection.js'

export interface RpcClientOptions {
  clock: Clock
  /** `IP:PORT` of the peer. */
  address: string
  peerKey: string
  /** Deadline of each call, in milliseconds. */
  timeoutMs: number
  ca?: Buffer | undefined
  /** Without it a call takes a third less processor time, but at rest 30 times the bytes. Default: true. */
  compresses?: boolean | undefined
}

export interface RpcClient<R extends AnyTRPCRouter> {
  readonly call: TRPCClient<R>
  /** Closes its connection; calls in progress fail. */
  close(): void
}

type Result = OperationResultEnvelope<unknown, TRPCClientError<AnyTRPCRouter>>

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

class PeerCalls {
  readonly #opts: RpcClientOptions
  #connection: PeerConnection | undefined

  constructor(opts: RpcClientOptions) {
    this.#opts = opts
  }

  close(): void {
    this.#connection?.destroy()
  }

  /** Errors: rejects with `unreachable` where nothing of the call can have left, else `outcome-unknown`. */
  async run(runtime: TRPCClientRuntime, op: Operation): Promise<Result> {
    const connection = this.#connect()
    const { messageCount } = connection
    let mayHaveLeft = false
    let timer: Timer | undefined
    const deadline = new Promise<never>((_, reject) => {
      timer = setDeadline(this.#opts.clock, this.#opts.timeoutMs, () => {
        if (connection.messageCount === messageCount) connection.destroy()
        reject(this.#createTimeoutError(mayHaveLeft))
      })
    })
    try {
      await Promise.race([connection.opened, deadline])
      mayHaveLeft = true
      return await Promise.race([send(connection, runtime, op), deadline])
    } finally {
      timer?.cancel()
    }
  }

  #connect(): PeerConnection {
    if (this.#connection === undefined || this.#connection.isClosed) {
      this.#connection = new PeerConnection(this.#opts)
    }
    return this.#connection
  }

  #createTimeoutError(mayHaveLeft: boolean): NettlespurError {
    const { address, timeoutMs } = this.#opts
    const kind = mayHaveLeft ? 'outcome-unknown' : 'unreachable'
    return new NettlespurError(kind, `${address}: no whole answer within ${timeoutMs} ms`)
  }
}

function send(
  connection: PeerConnection,
  runtime: TRPCClientRuntime,
  op: Operation,
): Promise<Result> {
  const link = wsLink<AnyTRPCRouter>({ client: connection.client })
  const next = (): never => {
    throw new Error('the link of a connection is the last one')
  }
  return observableToPromise(link(runtime)({ op, next })) as Promise<Result>
}
