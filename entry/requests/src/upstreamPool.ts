/**
 * The kept connections to one upstream. One that carried nothing for longer than `connectionProvenMs` is
 * closed rather than used again, also where the process itself was frozen for that time. When one is found
 * silent, all that were opened before are distrusted: none of them carries another request.
 */
import http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@nettlespur/core.clock'

export interface UpstreamPoolOptions {
  clock: Clock
  connectionProvenMs: number
  /** Most open connections, read again for each request. */
  connectionsMax: () => number
}

export class UpstreamPool {
  /** The task answered last: while the upstream knows it, it has not forgotten later ones. */
  lastAnsweredTaskId: string | undefined
  readonly #opts: UpstreamPoolOptions
  readonly #lastUsedAtMs = new WeakMap<Socket, number>()
  #agent: http.Agent

  constructor(opts: UpstreamPoolOptions) {
    this.#opts = opts
    this.#agent = this.#createAgent()
  }

  /** For one request, now. */
  get agent(): http.Agent {
    this.#agent.maxSockets = this.#opts.connectionsMax()
    this.#closeStale()
    return this.#agent
  }

  get isIdle(): boolean {
    const { sockets, freeSockets } = this.#agent
    return Object.keys(sockets).length === 0 && Object.keys(freeSockets).length === 0
  }

  /** What runs on an old connection may end there; the connection is closed behind it. */
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
