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
import { CallCancellation } from './callCancellation.js'
import { readCallLimits, type CallLimits } from './callLimits.js'
import type { RpcClientOptions } from './createRpcClient.js'
import { PeerConnection } from './peerConnection.js'

export type PeerResult = OperationResultEnvelope<unknown, TRPCClientError<AnyTRPCRouter>>

export class PeerCalls {
  readonly #opts: RpcClientOptions
  readonly #connections = new Set<PeerConnection>()
  /** The one that new calls go over. */
  #currentConnection: PeerConnection | undefined

  constructor(opts: RpcClientOptions) {
    this.#opts = opts
  }

  close(): void {
    for (const connection of this.#connections) connection.destroy()
    this.#connections.clear()
  }

  /** Errors: rejects with `unreachable` where nothing of the call can have left, else `outcome-unknown`. */
  async run(runtime: TRPCClientRuntime, op: Operation): Promise<PeerResult> {
    const connection = this.#getOrOpenConnection()
    const callNumber = connection.startCall()
    const limits = readCallLimits(op)
    const silence = this.#watchSilence(connection, callNumber, limits)
    const cancellation = this.#createCancellation(connection, callNumber, limits)
    try {
      await Promise.race([connection.opened, cancellation.cancelled])
      cancellation.mayHaveBeenSent = true
      const result = await Promise.race([send(connection, runtime, op), cancellation.cancelled])
      connection.recordAnswer(callNumber)
      this.#reinstate(connection)
      return result
    } finally {
      silence?.cancel()
      cancellation.dispose()
      connection.endCall()
      this.#closeIfUnused(connection)
    }
  }

  #createCancellation(
    connection: PeerConnection,
    callNumber: number,
    limits: CallLimits,
  ): CallCancellation {
    const { clock, address, timeoutMs } = this.#opts
    const { messageCount } = connection
    return new CallCancellation({
      clock,
      address,
      timeoutMs: limits.timeoutMs ?? timeoutMs,
      signal: limits.unwanted,
      onDeadline: () => {
        if (connection.messageCount === messageCount) connection.destroy()
        else this.#replaceIfSilent(connection, callNumber)
      },
    })
  }

  #watchSilence(
    connection: PeerConnection,
    callNumber: number,
    { silentAfterMs }: CallLimits,
  ): Timer | undefined {
    if (silentAfterMs === undefined) return undefined
    return setDeadline(this.#opts.clock, silentAfterMs, () => {
      this.#replaceIfSilent(connection, callNumber)
    })
  }

  /** Calls on it go on; the next one opens another connection. */
  #replaceIfSilent(connection: PeerConnection, callNumber: number): void {
    if (connection.highestAnsweredCall >= callNumber || this.#currentConnection !== connection)
      return
    this.#currentConnection = undefined
  }

  /**
   * A connection that was replaced and answers after all is slow, not silent. Over a link on which answers take
   * longer than the silence allowed, each call would else open a connection, and none would be answered in time.
   */
  #reinstate(connection: PeerConnection): void {
    const newer = this.#currentConnection
    if (newer === connection || connection.isClosed || (newer?.highestAnsweredCall ?? 0) > 0) return
    this.#currentConnection = connection
    if (newer !== undefined) this.#closeIfUnused(newer)
  }

  #closeIfUnused(connection: PeerConnection): void {
    if (connection === this.#currentConnection && !connection.isClosed) return
    if (connection.callsInProgress > 0) return
    connection.destroy()
    this.#connections.delete(connection)
  }

  #getOrOpenConnection(): PeerConnection {
    if (this.#currentConnection === undefined || this.#currentConnection.isClosed) {
      if (this.#currentConnection !== undefined) this.#closeIfUnused(this.#currentConnection)
      this.#currentConnection = new PeerConnection(this.#opts)
      this.#connections.add(this.#currentConnection)
    }
    return this.#currentConnection
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
