/** One WebSocket that a peer opened, and the calls on it that have no answer yet. */
import type { IncomingMessage } from 'node:http'
import { getWSConnectionHandler, jsonEncoder, type Encoder } from '@trpc/server/adapters/ws'
import type { AnyTRPCRouter } from '@trpc/server'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'
import type { WebSocket, WebSocketServer } from 'ws'

/** Tells the peer that this side is going away. */
const goingAwayCode = 1001

export interface ServedConnectionOptions {
  router: AnyTRPCRouter
  /** The server that opened the socket. */
  wss: WebSocketServer
  socket: WebSocket
  /** The request that asked for the connection. */
  request: IncomingMessage
}

export class ServedConnection {
  /** Resolves when the connection is gone. */
  readonly closed: Promise<void>
  readonly #socket: WebSocket
  readonly #unanswered = new BehaviorSubject(0)

  constructor(opts: ServedConnectionOptions) {
    const { router, wss, socket, request } = opts
    this.#socket = socket
    this.closed = new Promise((resolve) => {
      socket.once('close', () => {
        this.#unanswered.next(0)
        resolve()
      })
    })
    const experimental_encoder = this.#createCountingEncoder()
    const handle = getWSConnectionHandler({ router, wss, experimental_encoder })
    handle(socket, request)
  }

  get unanswered(): number {
    return this.#unanswered.value
  }

  /** Closes once every call has its answer. */
  async drain(): Promise<void> {
    await firstValueFrom(this.#unanswered.pipe(filter((count) => count === 0)))
    this.#socket.close(goingAwayCode)
    await this.closed
  }

  destroy(): void {
    this.#socket.terminate()
  }

  /** Every call is decoded once and every answer encoded once. */
  #createCountingEncoder(): Encoder {
    return {
      encode: (data) => {
        const encoded = jsonEncoder.encode(data)
        // After the answer has been handed to the socket, so that a close comes behind it.
        queueMicrotask(() => {
          this.#unanswered.next(Math.max(0, this.#unanswered.value - 1))
        })
        return encoded
      },
      decode: (data) => {
        const decoded = jsonEncoder.decode(data)
        const count = Array.isArray(decoded) ? decoded.length : 1
        this.#unanswered.next(this.#unanswered.value + count)
        return decoded
      },
    }
  }
}
