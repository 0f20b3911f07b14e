/** A TCP proxy in front of a member, whose open and new connections can go silent. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Transform } from 'node:stream'

export class MemberLink {
  /** Chunks read on either side: while this does not change, no data is under way. */
  chunksRead = 0
  connectionsOpened = 0
  /** New connections are accepted but carry no data, as to a machine without power. */
  isBlackholed = false
  /** New connections are closed at once, as by a machine whose process was killed. */
  isRefusing = false
  /** Awaited before each chunk from the member is passed on. */
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

  /** Closes the open connections, and from now on each new one at once. */
  refuse(): void {
    this.isRefusing = true
    for (const socket of [...this.#clientSockets, ...this.#memberSockets]) socket.destroy()
  }

  /** From now on the open connections carry no data. */
  silence(): void {
    this.silenceRequests()
    mute(this.#memberSockets)
  }

  /** From now on the open connections carry no data to the member; its answers still pass. */
  silenceRequests(): void {
    mute(this.#clientSockets)
  }

  async close(): Promise<void> {
    const closed = once(this.#server, 'close')
    this.#server.close()
    for (const socket of [...this.#clientSockets, ...this.#memberSockets]) socket.destroy()
    await closed
  }

  /** Delays chunks without blocking the ones after them: several may be delayed at a time. */
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
    // Otherwise Nagle's algorithm holds the last bytes until an acknowledgement, for 40 ms of real time.
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
