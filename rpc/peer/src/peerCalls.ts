/**
 * The calls of one peer and the connections they are on. A connection on which nothing came between a call
 * and its deadline is cut. One that answers neither a call nor any later one is replaced: bytes of earlier
 * answers may still arrive on it while nothing goes the other way.
 */
import { setDeadline, type Timer } from '@nettlespur/core.clock'
import {
  wsLink,
  type Operation,
  type OperationResultEnvelope,
  type TRPCClientError,
  type TRPCClientRuntime,
} from '@trpc/client'
import type { AnyTRPCRouter } from '@trpc/server'
import { observableToPromise } from '@trpc/server/observable'
import { CallEnd } from './callEnd.js'
import { readLimits, type CallLimits } from './callLimits.js'
import type { RpcClientOptions } from './createRpcClient.js'
import { PeerConnection } from './peerConnection.js'

export type PeerResult = OperationResultEnvelope<unknown, TRPCClientError<AnyTRPCRouter>>

export class PeerCalls {
  readonly #opts: RpcClientOptions
  readonly #connections = new Set<PeerConnection>()
  /** The one that new calls go over. */
  #connection: PeerConnection | undefined

  constructor(opts: RpcClientOptions) {
    this.#opts = opts
  }

  close(): void {
    for (const connection of this.#connections) connection.destroy()
    this.#connections.clear()
  }

  /** Errors: rejects with `unreachable` where nothing of the call can have left, else `outcome-unknown`. */
  async run(runtime: TRPCClientRuntime, op: Operation): Promise<PeerResult> {
    const connection = this.#connect()
    const number = connection.startCall()
    const limits = readLimits(op)
    const silence = this.#watchSilence(connection, number, limits)
    const end = this.#createEnd(connection, number, limits)
    try {
      await Promise.race([connection.opened, end.reached])
      end.mayHaveLeft = true
      const result = await Promise.race([send(connection, runtime, op), end.reached])
      connection.noteAnswer(number)
      this.#takeBack(connection)
      return result
    } finally {
      silence?.cancel()
      end.cancel()
      connection.endCall()
      this.#dropIfUnused(connection)
    }
  }

  #createEnd(connection: PeerConnection, number: number, limits: CallLimits): CallEnd {
    const { clock, address, timeoutMs } = this.#opts
    const { messageCount } = connection
    return new CallEnd({
      clock,
      address,
      timeoutMs: limits.timeoutMs ?? timeoutMs,
      unwanted: limits.unwanted,
      onDeadline: () => {
        if (connection.messageCount === messageCount) connection.destroy()
        else this.#replaceSilent(connection, number)
      },
    })
  }

  #watchSilence(
    connection: PeerConnection,
    number: number,
    { silentAfterMs }: CallLimits,
  ): Timer | undefined {
    if (silentAfterMs === undefined) return undefined
    return setDeadline(this.#opts.clock, silentAfterMs, () => {
      this.#replaceSilent(connection, number)
    })
  }

  /** Calls on it go on; the next one opens another connection. */
  #replaceSilent(connection: PeerConnection, number: number): void {
    if (connection.newestAnswered >= number || this.#connection !== connection) return
    this.#connection = undefined
  }

  /**
   * A connection that was replaced and answers after all is slow, not silent. Over a link on which answers take
   * longer than the silence allowed, each call would else open a connection, and none would be answered in time.
   */
  #takeBack(connection: PeerConnection): void {
    const newer = this.#connection
    if (newer === connection || connection.isClosed || (newer?.newestAnswered ?? 0) > 0) return
    this.#connection = connection
    if (newer !== undefined) this.#dropIfUnused(newer)
  }

  #dropIfUnused(connection: PeerConnection): void {
    if (connection === this.#connection && !connection.isClosed) return
    if (connection.callsInProgress > 0) return
    connection.destroy()
    this.#connections.delete(connection)
  }

  #connect(): PeerConnection {
    if (this.#connection === undefined || this.#connection.isClosed) {
      if (this.#connection !== undefined) this.#dropIfUnused(this.#connection)
      this.#connection = new PeerConnection(this.#opts)
      this.#connections.add(this.#connection)
    }
    return this.#connection
  }
}

function send(
  connection: PeerConnection,
  runtime: TRPCClientRuntime,
  op: Operation,
): Promise<PeerResult> {
  const link = wsLink<AnyTRPCRouter>({ client: connection.client })
  const next = (): never => {
    throw new Error('the link of a connection is the last one')
  }
  return observableToPromise(link(runtime)({ op, next })) as Promise<PeerResult>
}
