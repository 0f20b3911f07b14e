/** Reports when connections of a server open and end, and which of them end with unanswered requests. */
import { minOf } from '@nettlespur/core.lists'
import type http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import https from 'node:https'
import type { Socket } from 'node:net'
import type { Clock } from '@nettlespur/core.clock'

/** A connection that ended before all of its requests were answered. */
export interface CutConnection {
  /** Method and path of each request whose answer was not sent completely. */
  readonly unanswered: readonly string[]
  /** Number of requests that were answered on this connection. */
  readonly answered: number
  readonly openMs: number
  /** The side that ended the connection first; an error such as a reset counts as the caller's. */
  readonly endedBy: 'caller' | 'us'
  /** How long the oldest unanswered request had waited. */
  readonly waitedMs: number
}

export interface ConnectionWatcher {
  readonly clock: Clock
  readonly onOpened?: () => void
  /** Called once for each connection that ends, including those that carried no request. */
  readonly onEnded?: (endedBy: CutConnection['endedBy']) => void
  /** Called after `onEnded` if the connection had unanswered requests. */
  readonly onCut?: (connection: CutConnection) => void
}

interface PendingRequest {
  readonly call: string
  readonly sinceMs: number
}

class WatchedConnection {
  readonly #clock: Clock
  readonly #openedMs: number
  readonly #pending = new Map<ServerResponse, PendingRequest>()
  #answered = 0
  #callerEnded = false

  constructor(socket: Socket, watcher: ConnectionWatcher) {
    this.#clock = watcher.clock
    this.#openedMs = this.#clock.monotonicMs()
    watcher.onOpened?.()
    // Must run before the server's own listener, which ends this side of the connection immediately.
    socket.prependOnceListener('end', () => {
      this.#callerEnded = !socket.writableEnded
    })
    socket.once('error', () => {
      this.#callerEnded = true
    })
    socket.once('close', () => {
      const endedBy = this.#callerEnded ? 'caller' : 'us'
      watcher.onEnded?.(endedBy)
      if (this.#pending.size > 0) watcher.onCut?.(this.#describe(endedBy))
    })
  }

  trackRequest(raw: IncomingMessage, response: ServerResponse): void {
    const call = `${raw.method ?? ''} ${raw.url ?? ''}`
    this.#pending.set(response, { call, sinceMs: this.#clock.monotonicMs() })
    response.once('finish', () => {
      this.#pending.delete(response)
      this.#answered += 1
    })
  }

  #describe(endedBy: CutConnection['endedBy']): CutConnection {
    const nowMs = this.#clock.monotonicMs()
    const waiting = [...this.#pending.values()]
    const oldestMs = minOf(waiting.map(({ sinceMs }) => sinceMs))
    return {
      unanswered: waiting.map(({ call }) => call),
      answered: this.#answered,
      openMs: nowMs - this.#openedMs,
      endedBy,
      waitedMs: nowMs - oldestMs,
    }
  }
}

export function watchConnections(server: http.Server, watcher: ConnectionWatcher): void {
  const connections = new WeakMap<Socket, WatchedConnection>()
  const event = server instanceof https.Server ? 'secureConnection' : 'connection'
  server.on(event, (socket: Socket) => {
    connections.set(socket, new WatchedConnection(socket, watcher))
  })
  server.on('request', (raw: IncomingMessage, response: ServerResponse) => {
    connections.get(raw.socket)?.trackRequest(raw, response)
  })
}
