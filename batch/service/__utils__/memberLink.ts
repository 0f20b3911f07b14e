/** A TCP link to a member: what is open on it can go silent for good, and new connections too. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Transform } from 'node:stream'

export class MemberLink {
  /** Pieces that were read on either side: while it stands still, nothing is on its way. */
  moved = 0
  opened = 0
  /** New connections are taken and carry nothing, as to a machine without power. */
  isDark = false
  /** New connections are ended at once, as by a machine whose process was killed. */
  isRefusing = false
  /** Waited for before anything of the member's is passed on. */
  holdAnswers: () => Promise<unknown> = () => Promise.resolve()
  readonly #server: Server
  readonly #towards = new Set<Socket>()
  readonly #back = new Set<Socket>()

  private constructor(target: string) {
    const [host = '', port = ''] = target.split(':')
    this.#server = createServer((inner) => {
      this.opened += 1
      this.#keep(this.#towards, inner)
      if (this.isRefusing) {
        inner.destroy()
        return
      }
      if (this.isDark) {
        inner.resume()
        return
      }
      const outer = connect({ host, port: Number(port) })
      this.#keep(this.#back, outer)
      inner.pipe(outer).pipe(this.#createHold()).pipe(inner)
    })
  }

  static async start(target: string): Promise<MemberLink> {
    const link = new MemberLink(target)
    link.#server.listen(0, '127.0.0.1')
    await once(link.#server, 'listening')
    return link
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** What is open ends, and new connections with it. */
  refuse(): void {
    this.isRefusing = true
    for (const socket of [...this.#towards, ...this.#back]) socket.destroy()
  }

  /** From now on the connections that are open carry nothing. */
  silence(): void {
    this.silenceCalls()
    mute(this.#back)
  }

  /** From now on the connections that are open carry nothing towards the member; its answers still come. */
  silenceCalls(): void {
    mute(this.#towards)
  }

  async close(): Promise<void> {
    const closed = once(this.#server, 'close')
    this.#server.close()
    for (const socket of [...this.#towards, ...this.#back]) socket.destroy()
    await closed
  }

  /** Pieces pass one after the other; several may be held at a time. */
  #createHold(): Transform {
    const hold: Transform = new Transform({
      transform: (piece, _encoding, taken) => {
        void this.holdAnswers().then(() => hold.push(piece))
        taken()
      },
      flush: (ended) => {
        void this.holdAnswers().then(() => {
          ended()
        })
      },
    })
    return hold
  }

  #keep(side: Set<Socket>, socket: Socket): void {
    side.add(socket)
    // Else the last bytes wait for an acknowledgement, for 40 ms of real time.
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('data', () => (this.moved += 1))
  }
}

function mute(sockets: ReadonlySet<Socket>): void {
  for (const socket of sockets) {
    socket.unpipe()
    socket.resume()
  }
}
