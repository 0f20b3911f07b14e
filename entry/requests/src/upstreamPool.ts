/**
 * The keep-alive connections to one upstream. A connection that was unused for longer than
 * `connectionProvenMs` is closed instead of reused, even if the process itself was suspended for that time. If
 * one connection is found to be silent, all open ones are retired: none of them carries another request.
 */
import http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@nettlespur/core.clock'

export interface UpstreamPoolOptions {
  clock: Clock
  connectionProvenMs: number
  /** Maximum open connections; called for each request. */
  connectionsMax: () => number
}

export class UpstreamPool {
  /** The task that the upstream answered last. While the upstream knows it, it has not forgotten later tasks. */
  lastAnsweredTaskId: string | undefined
  readonly #opts: UpstreamPoolOptions
  readonly #lastUsedAtMs = new WeakMap<Socket, number>()
  #agent: http.Agent

  constructor(opts: UpstreamPoolOptions) {
    this.#opts = opts
    this.#agent = this.#createAgent()
  }

  /** The agent for one request that is sent at once. Reading it closes stale connections. */
  get agent(): http.Agent {
    this.#agent.maxSockets = this.#opts.connectionsMax()
    this.#closeStale()
    return this.#agent
  }

  get isIdle(): boolean {
    const { sockets, freeSockets } = this.#agent
    return Object.keys(sockets).length === 0 && Object.keys(freeSockets).length === 0
  }

  /** Stops the reuse of all open connections. Requests in flight may end on theirs, which are closed afterwards. */
  retireConnections(): void {
    const former = this.#agent
    this.#agent = this.#createAgent()
    Object.assign(former, { keepAlive: false })
    for (const socket of listFree(former)) socket.destroy()
  }

  close(): void {
    this.#agent.destroy()
  }

  #createAgent(): http.Agent {
    const { clock, connectionProvenMs } = this.#opts
    const agent = new http.Agent({
      keepAlive: true,
      timeout: connectionProvenMs,
      scheduling: 'lifo',
    })
    agent.on('free', (socket: Socket) => {
      this.#lastUsedAtMs.set(socket, clock.monotonicMs())
    })
    return agent
  }

  #closeStale(): void {
    const provenSinceMs = this.#opts.clock.monotonicMs() - this.#opts.connectionProvenMs
    for (const socket of listFree(this.#agent)) {
      if ((this.#lastUsedAtMs.get(socket) ?? 0) < provenSinceMs) socket.destroy()
    }
  }
}

function listFree(agent: http.Agent): Socket[] {
  return Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? [])
}
