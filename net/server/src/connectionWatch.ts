/** Counts the connections of a server, and tells of each that ended with a request on it unanswered. */
import type http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import https from 'node:https'
import type { Socket } from 'node:net'
import type { Clock } from '@nettlespur/core.clock'

/** A connection that ended before its answers. */
export interface CutConnection {
  /** Method and path of each request that has no whole answer. */
  readonly unanswered: readonly string[]
  /** Requests that were answered on it before. */
  readonly answered: number
  readonly openMs: number
  /** Who ended it first; a reset is the other side's. */
  readonly endedBy: 'caller' | 'us'
  /** How long the oldest of them had waited. */
  readonly waitedMs: number
}

export interface ConnectionWatcher {
  readonly clock: Clock
  readonly onOpened?: () => void
  /** Told once for each connection, also for those that ended without anything on them. */
  readonly onEnded?: (endedBy: CutConnection['endedBy']) => void
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
    // Before the server's own listener, which ends this side at once.
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
    const oldestMs = Math.min(...waiting.map(({ sinceMs }) => sinceMs))
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
