/** A TCP link to a member: what is open on it can go silent for good, and new connections too. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Transform } from 'node:stream'

export class MemberLink {
  /** Pieces that were read on either side: while it stands still, nothing is on its way. */
  chunksRead = 0
  connectionsOpened = 0
  /** New connections are taken and carry nothing, as to a machine without power. */
  isBlackholed = false
  /** New connections are ended at once, as by a machine whose process was killed. */
  isRefusing = false
  /** Waited for before anything of the member's is passed on. */
  delayAnswer: () => Promise<unknown> = () => Promise.resolve()
  readonly #server: Server
  readonly #clientSockets = new Set<Socket>()
  readonly #memberSockets = new Set<Socket>()

  private constructor(target: string) {
    const [host = '', port = ''] = target.split(':')
    this.#server = createServer((clientSocket) => {
      this.connectionsOpened += 1
      this.#track(this.#clientSockets, clientSocket)
      if (this.isRefusing) {
        clientSocket.destroy()
        return
      }
      if (this.isBlackholed) {
        clientSocket.resume()
        return
      }
      const memberSocket = connect({ host, port: Number(port) })
      this.#track(this.#memberSockets, memberSocket)
      clientSocket.pipe(memberSocket).pipe(this.#createDelay()).pipe(clientSocket)
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
    for (const socket of [...this.#clientSockets, ...this.#memberSockets]) socket.destroy()
  }

  /** From now on the connections that are open carry nothing. */
  silence(): void {
    this.silenceRequests()
    mute(this.#memberSockets)
  }

  /** From now on the connections that are open carry nothing towards the member; its answers still come. */
  silenceRequests(): void {
    mute(this.#clientSockets)
  }

  async close(): Promise<void> {
    const closed = once(this.#server, 'close')
    this.#server.close()
    for (const socket of [...this.#clientSockets, ...this.#memberSockets]) socket.destroy()
    await closed
  }

  /** Pieces pass one after the other; several may be held at a time. */
  #createDelay(): Transform {
    const delay: Transform = new Transform({
      transform: (chunk, _encoding, done) => {
        void this.delayAnswer().then(() => delay.push(chunk))
        done()
      },
      flush: (done) => {
        void this.delayAnswer().then(() => {
          done()
        })
      },
    })
    return delay
  }

  #track(side: Set<Socket>, socket: Socket): void {
    side.add(socket)
    // Else the last bytes wait for an acknowledgement, for 40 ms of real time.
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('data', () => (this.chunksRead += 1))
  }
}

function mute(sockets: ReadonlySet<Socket>): void {
  for (const socket of sockets) {
    socket.unpipe()
    socket.resume()
  }
}
