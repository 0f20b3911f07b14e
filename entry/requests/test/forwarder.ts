import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A TCP forwarder that can lose track of the connections it has, as something between two ends may. */
export class Forwarder {
  readonly #server: Server
  readonly #links = new Set<Link>()

  private constructor(server: Server) {
    this.#server = server
  }

  static async start(target: string): Promise<Forwarder> {
    const [host = '', port = '0'] = target.split(':')
    const server = createServer()
    const forwarder = new Forwarder(server)
    server.on('connection', (near) => {
      forwarder.#link(near, connect(Number(port), host))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return forwarder
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** From now on nothing passes on today's connections: neither way, or not back. */
  silence(way: 'both' | 'back'): void {
    for (const link of this.#links) {
      link.silentBack = true
      if (way === 'both') link.silentForth = true
    }
  }

  /** From now on what comes is kept back, also when the near end goes. */
  holdForth(): void {
    for (const link of this.#links) {
      link.held ??= []
      link.outlivesNear = true
    }
  }

  /** Passes on what was held, and resolves when the far ends have answered it. */
  async releaseForth(): Promise<void> {
    const holding = [...this.#links].filter((link) => (link.held?.length ?? 0) > 0)
    await Promise.all(
      holding.map((link) => {
        const answered = once(link.far, 'data')
        for (const bytes of link.held ?? []) link.far.write(bytes)
        link.held = undefined
        return answered
      }),
    )
  }

  stop(): void {
    this.#server.close()
    for (const link of this.#links) {
      link.near.destroy()
      link.far.destroy()
    }
  }

  #link(near: Socket, far: Socket): void {
    const link: Link = {
      near,
      far,
      silentForth: false,
      silentBack: false,
      held: undefined,
      outlivesNear: false,
    }
    this.#links.add(link)
    near.on('data', (bytes) => {
      if (link.held !== undefined) link.held.push(bytes)
      else if (!link.silentForth) far.write(bytes)
    })
    far.on('data', (bytes) => {
      if (!link.silentBack) near.write(bytes)
    })
    near.on('error', () => far.destroy())
    far.on('error', () => near.destroy())
    near.on('close', () => {
      if (!link.outlivesNear) far.destroy()
    })
    far.on('close', () => {
      if (!link.silentBack) near.destroy()
    })
  }
}

interface Link {
  readonly near: Socket
  readonly far: Socket
  silentForth: boolean
  silentBack: boolean
  held: Buffer[] | undefined
  outlivesNear: boolean
}
