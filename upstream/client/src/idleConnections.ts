/** Bounds the idle connections of several agents: beyond the limit, the one that has been idle the longest is closed. */
import type { Agent, ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

/** Node calls these methods as connections become idle or are used again; the type definitions of Agent omit them. */
interface KeepAliveAgent {
  keepSocketAlive(socket: Duplex): boolean
  reuseSocket(socket: Duplex, request: ClientRequest): void
}

export class IdleConnections {
  readonly #countMax: number
  /** In the order in which they became idle. */
  readonly #idle = new Set<Duplex>()
  readonly #watched = new WeakSet<Duplex>()

  constructor(countMax: number) {
    this.#countMax = countMax
  }

  get count(): number {
    return this.#idle.size
  }

  /** Bounds the connections that `agent` keeps from now on. */
  watch(agent: Agent): void {
    const keeping = agent as unknown as KeepAliveAgent
    const keep = keeping.keepSocketAlive.bind(keeping)
    const reuse = keeping.reuseSocket.bind(keeping)
    keeping.keepSocketAlive = (socket) => {
      const isKept = keep(socket)
      if (isKept) this.#add(socket)
      return isKept
    }
    keeping.reuseSocket = (socket, request) => {
      this.#idle.delete(socket)
      reuse(socket, request)
    }
  }

  #add(socket: Duplex): void {
    this.#idle.add(socket)
    if (!this.#watched.has(socket)) {
      this.#watched.add(socket)
      socket.once('close', () => this.#idle.delete(socket))
    }
    if (this.#idle.size <= this.#countMax) return
    const [longestIdle] = this.#idle
    if (longestIdle === undefined) return
    this.#idle.delete(longestIdle)
    longestIdle.destroy()
  }
}
