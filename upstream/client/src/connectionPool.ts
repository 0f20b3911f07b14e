/**
 * Keep-alive connections to one upstream. A pool is retired when a call on it times out: its idle connections are
 * closed at once, the busy ones after their answer, and no later call uses it.
 */
import http from 'node:http'
import https from 'node:https'
import type { Duplex } from 'node:stream'
import type { IdleConnections } from './idleConnections.js'

export interface ConnectionPoolOptions {
  /** Maximum number of connections open at a time. */
  connectionsMax: number
  /** An idle connection is closed after this time, so that calls only reuse connections that worked recently. */
  idleMsMax: number
  tls: boolean
  /** Bounds the idle connections of all pools that share it. */
  idleConnections?: IdleConnections | undefined
}

/** Node calls this method before it keeps a connection for reuse; the type definitions of Node's Agent omit it. */
interface KeepAliveAgent {
  keepSocketAlive(socket: Duplex): boolean
}

export class ConnectionPool {
  readonly agent: http.Agent
  #retired = false

  constructor(opts: ConnectionPoolOptions) {
    const agentOpts = {
      keepAlive: true,
      maxSockets: opts.connectionsMax,
      maxFreeSockets: opts.connectionsMax,
      timeout: opts.idleMsMax,
    }
    this.agent = opts.tls ? new https.Agent(agentOpts) : new http.Agent(agentOpts)
    this.#preventReuseOnceRetired(this.agent as unknown as KeepAliveAgent)
    opts.idleConnections?.watch(this.agent)
  }

  /** True if no connection is open and no call waits for one. */
  get isUnused(): boolean {
    const { sockets, freeSockets, requests } = this.agent
    return [sockets, freeSockets, requests].every((held) => Object.keys(held).length === 0)
  }

  retire(): void {
    this.#retired = true
    for (const idle of Object.values(this.agent.freeSockets)) {
      idle?.forEach((socket) => socket.destroy())
    }
  }

  destroy(): void {
    this.agent.destroy()
  }

  #preventReuseOnceRetired(agent: KeepAliveAgent): void {
    const keep = agent.keepSocketAlive.bind(agent)
    agent.keepSocketAlive = (socket) => !this.#retired && keep(socket)
  }
}
