/**
 * Runs calls to one peer and manages the connections that they use. A connection that receives no message between
 * the start of a call and its deadline is terminated. One that answers neither a call nor a later one within
 * `silentAfterMs` or the deadline is replaced for new calls, even if messages arrive: these may be answers to
 * earlier calls, on a connection that no longer delivers calls.
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
import { CallCancellation } from './callCancellation.js'
import { readCallLimits, type CallLimits } from './callLimits.js'
import { PeerConnection } from './peerConnection.js'
import type { RpcClientOptions } from './rpcClientOptions.js'

export type PeerResult = OperationResultEnvelope<unknown, TRPCClientError<AnyTRPCRouter>>

export class PeerCalls {
  readonly #opts: RpcClientOptions
  readonly #connections = new Set<PeerConnection>()
  /** The connection for new calls. */
  #currentConnection: PeerConnection | undefined

  constructor(opts: RpcClientOptions) {
    this.#opts = opts
  }

  close(): void {
    for (const connection of this.#connections) connection.destroy()
    this.#connections.clear()
  }

  /**
   * Errors: rejects with `unauthorized` if the peer refuses the key, with `unreachable` if the call cannot have been
   * sent, otherwise with `outcome-unknown` or the error of tRPC's link.
   */
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

  /**
   * Makes the next call open a new connection, unless `connection` has answered `callNumber` or a later call.
   * Calls in progress continue on it.
   */
  #replaceIfSilent(connection: PeerConnection, callNumber: number): void {
    if (connection.highestAnsweredCall >= callNumber || this.#currentConnection !== connection)
      return
    this.#currentConnection = undefined
  }

  /**
   * Makes a replaced connection that answers after all the current one again, unless its successor has answered too:
   * it is slow, not silent. Otherwise, if answers take longer than `silentAfterMs`, each call would open a new
   * connection, and none would answer in time.
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

/** Resolves with the first result. Cheaper than the promise of tRPC's own, which aborts a signal for each call. */
function send(
  connection: PeerConnection,
  runtime: TRPCClientRuntime,
  op: Operation,
): Promise<PeerResult> {
  const link = wsLink<AnyTRPCRouter>({ client: connection.client })
  const next = (): never => {
    throw new Error('wsLink is the last link of the chain and must not call the next one')
  }
  return new Promise((resolve, reject) => {
    link(runtime)({ op, next }).subscribe({ next: resolve, error: reject })
  })
}
