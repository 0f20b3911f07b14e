/** A TCP proxy that can permanently stop forwarding on its open connections while new ones still work. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export class SilentProxy {
  openedCount = 0
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  /** Sockets accepted from callers; the other sockets lead to the target. */
  readonly #callerSockets = new Set<Socket>()

  private constructor(target: string) {
    const separator = target.lastIndexOf(':')
    const to = { host: target.slice(0, separator), port: Number(target.slice(separator + 1)) }
    this.#server = createServer((callerSocket) => {
      this.openedCount += 1
      const targetSocket = connect(to)
      this.#callerSockets.add(callerSocket)
      callerSocket.pipe(targetSocket).pipe(callerSocket)
      for (const socket of [callerSocket, targetSocket]) {
        this.#sockets.add(socket)
        socket.on('error', () => socket.destroy())
      }
    })
  }

  static async start(target: string): Promise<SilentProxy> {
    const proxy = new SilentProxy(target)
    proxy.#server.listen(0, '127.0.0.1')
    await once(proxy.#server, 'listening')
    return proxy
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Stops forwarding on all open connections, in both directions. */
  silence(): void {
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.resume()
    }
  }

  /** Stops forwarding calls on all open connections; answers still pass. */
  silenceCalls(): void {
    for (const socket of this.#callerSockets) {
      socket.unpipe()
      socket.resume()
    }
  }

  async close(): Promise<void> {
    const closed = once(this.#server, 'close')
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }
}
