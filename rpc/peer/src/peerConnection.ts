/**
 * One WebSocket to a peer, which carries concurrent calls. It never reconnects: when the socket closes, the tRPC
 * client is closed with it, so that tRPC cannot resend a call over another connection.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import { createUnauthorizedError, formatBearerKey } from '@nettlespur/net.keys'
import { createWSClient, type TRPCWebSocketClient } from '@trpc/client'
import type { WebSocket } from 'ws'
import { LimitedSocket } from './limitedSocket.js'
import { compression, messageBytesMax } from './messageCodec.js'

const unauthorizedStatus = 401

export interface PeerConnectionOptions {
  /** `IP:PORT` of the peer. */
  address: string
  peerKey: string
  /** Certificate of the CA that signed the peer's certificate. The connection uses TLS if it is set. */
  ca?: Buffer | undefined
  /** Uncompressed, a call takes a third less CPU time, but idle traffic is 30 times the bytes. Default: true. */
  compresses?: boolean | undefined
}

export class PeerConnection {
  /** Resolves when the socket is open; rejects with `unreachable` or `unauthorized` if it cannot be opened. */
  readonly opened: Promise<void>
  readonly client: TRPCWebSocketClient
  readonly #address: string
  #socket: WebSocket | undefined
  #closed = false
  #messageCount = 0
  #callCount = 0
  #callsInProgress = 0
  #highestAnsweredCall = 0
  #settle: { resolve: () => void; reject: (error: NettlespurError) => void } | undefined

  constructor(opts: PeerConnectionOptions) {
    this.#address = opts.address
    this.opened = new Promise((resolve, reject) => {
      this.#settle = { resolve, reject }
    })
    this.opened.catch(() => undefined)
    const onSocket = (socket: WebSocket): void => {
      this.#attachSocket(socket)
    }
    const scheme = opts.ca === undefined ? 'ws' : 'wss'
    this.client = createWSClient({
      url: `${scheme}://${opts.address}`,
      WebSocket: createSocketClass(opts, onSocket) as never,
    })
  }

  get isClosed(): boolean {
    return this.#closed
  }

  /** Number of messages received so far. A connection is silent while it does not increase. */
  get messageCount(): number {
    return this.#messageCount
  }

  get callsInProgress(): number {
    return this.#callsInProgress
  }

  /** The highest number of an answered call; 0 if none was answered. */
  get highestAnsweredCall(): number {
    return this.#highestAnsweredCall
  }

  /** Registers a call in progress and returns its number; numbers count up from 1. */
  startCall(): number {
    this.#callsInProgress += 1
    this.#callCount += 1
    return this.#callCount
  }

  recordAnswer(callNumber: number): void {
    this.#highestAnsweredCall = Math.max(this.#highestAnsweredCall, callNumber)
  }

  endCall(): void {
    this.#callsInProgress -= 1
  }

  /** Terminates the socket; calls in progress on it fail at once. */
  destroy(): void {
    this.#markClosed('the connection was closed on this side')
    this.#socket?.terminate()
  }

  #attachSocket(socket: WebSocket): void {
    this.#socket = socket
    socket.on('open', () => this.#settle?.resolve())
    socket.on('message', () => {
      this.#messageCount += 1
    })
    socket.on('unexpected-response', (request, response) => {
      if (response.statusCode === unauthorizedStatus)
        this.#settle?.reject(createUnauthorizedError())
      this.#markClosed(
        `the peer answered the WebSocket upgrade with HTTP status ${response.statusCode ?? 0}`,
      )
      request.destroy()
      socket.terminate()
    })
    socket.on('error', (cause) => {
      this.#markClosed(cause.message)
    })
    socket.on('close', () => {
      this.#markClosed('the peer closed the connection')
    })
  }

  #markClosed(reason: string): void {
    this.#closed = true
    this.#settle?.reject(new NettlespurError('unreachable', `${this.#address}: ${reason}`))
    void this.client.close()
  }
}

/** Returns a WebSocket class for the tRPC client that passes the socket to `onSocket` on construction. */
function createSocketClass(opts: PeerConnectionOptions, onSocket: (socket: WebSocket) => void) {
  return class extends LimitedSocket {
    constructor(url: string) {
      super(url, {
        headers: { authorization: formatBearerKey(opts.peerKey) },
        perMessageDeflate: opts.compresses === false ? false : compression,
        maxPayload: messageBytesMax,
        ...(opts.ca === undefined ? {} : { ca: opts.ca }),
      })
      onSocket(this)
    }
  }
}
