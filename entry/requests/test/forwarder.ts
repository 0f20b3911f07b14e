import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A TCP forwarder that can silently drop or hold data, as a faulty middlebox does. */
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

  /** Drops all further data on the present connections: in both directions, or only from the far end. */
  silence(way: 'both' | 'back'): void {
    for (const link of this.#links) {
      link.silentBack = true
      if (way === 'both') link.silentForth = true
    }
  }

  /** Holds further data from the near end of the present connections, even after the near end has closed. */
  holdForth(): void {
    for (const link of this.#links) {
      link.held ??= []
      link.outlivesNear = true
    }
  }

  /** Forwards the held data and resolves when the far ends have answered it. */
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
