/**
 * A proxy between two sides, which a script can disturb. `open` passes everything; `refused` resets all connections and
 * has nothing listen; `silent` keeps connections open and passes nothing; `deaf` passes only what the caller sends.
 */
import net from 'node:net'

export class Link {
  address
  #target
  #server
  #port
  #host
  #mode = 'open'
  #pairs = new Set()

  static async open(target, host = '127.0.0.1') {
    const link = new Link()
    link.#target = target
    link.#host = host
    link.#port = 0
    await link.#listen()
    link.#port = link.#server.address().port
    link.address = `${host}:${link.#port}`
    return link
  }

  async setMode(mode) {
    const before = this.#mode
    this.#mode = mode
    if (mode === 'refused') await this.#stopListening()
    else if (before === 'refused') await this.#listen()
    if (mode !== 'open') return
    // What was held back is gone with its connection, as after a partition.
    if (before === 'silent' || before === 'deaf') this.#resetAll()
  }

  /** Connections opened from now on go to another address. */
  retarget(target) {
    this.#target = target
  }

  async close() {
    this.#resetAll()
    if (this.#server.listening) await this.#stopListening()
  }

  #listen() {
    this.#server = net.createServer((caller) => this.#accept(caller))
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host: this.#host, port: this.#port }, resolve)
    })
  }

  async #stopListening() {
    const closed = new Promise((resolve) => {
      this.#server.close(resolve)
    })
    this.#resetAll()
    await closed
  }

  #resetAll() {
    for (const { caller, callee } of this.#pairs) {
      caller.resetAndDestroy()
      callee?.destroy()
    }
    this.#pairs.clear()
  }

  #accept(caller) {
    const separator = this.#target.lastIndexOf(':')
    // A packet of the answer would be needed to open a connection, so that none opens during `deaf`.
    const isCut = this.#mode !== 'open'
    const callee = isCut
      ? undefined
      : net.connect({
          host: this.#target.slice(0, separator),
          port: Number(this.#target.slice(separator + 1)),
        })
    const pair = { caller, callee }
    this.#pairs.add(pair)
    const end = () => {
      this.#pairs.delete(pair)
      caller.destroy()
      callee?.destroy()
    }
    caller.on('error', end)
    caller.on('close', end)
    if (callee === undefined) {
      caller.resume()
      return
    }
    callee.on('error', end)
    callee.on('close', end)
    caller.on('data', (bytes) => {
      if (this.#mode !== 'silent') callee.write(bytes)
    })
    callee.on('data', (bytes) => {
      if (this.#mode === 'open') caller.write(bytes)
    })
  }
}
