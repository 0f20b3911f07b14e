/** Server side of one WebSocket, with a count of the calls on it that have no answer yet. */
import type { IncomingMessage } from 'node:http'
import { getWSConnectionHandler, jsonEncoder, type Encoder } from '@trpc/server/adapters/ws'
import type { AnyTRPCRouter } from '@trpc/server'
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs'
import type { WebSocket, WebSocketServer } from 'ws'

/** WebSocket close code 1001: the endpoint is shutting down. */
const goingAwayCode = 1001

export interface ServedConnectionOptions {
  router: AnyTRPCRouter
  /** The server that accepted the socket. */
  wss: WebSocketServer
  socket: WebSocket
  /** The HTTP upgrade request of the connection. */
  request: IncomingMessage
}

export class ServedConnection {
  /** Resolves when the socket has closed. */
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

  /** Waits until every call is answered, then closes the connection. */
  async drain(): Promise<void> {
    await firstValueFrom(this.#unanswered.pipe(filter((count) => count === 0)))
    this.#socket.close(goingAwayCode)
    await this.closed
  }

  destroy(): void {
    this.#socket.terminate()
  }

  /** Counts unanswered calls: tRPC decodes each call once and encodes each answer once. */
  #createCountingEncoder(): Encoder {
    return {
      encode: (data) => {
        const encoded = jsonEncoder.encode(data)
        // Decremented only after tRPC has written the answer to the socket, so that drain() closes behind it.
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
