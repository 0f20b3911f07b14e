/** A peer process as its parent sees it: one order at a time, each answered. */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import path from 'node:path'
import type { PeerAnswer, PeerOrder } from './peerOrder.js'

const program = path.join(import.meta.dirname, 'peerProcess.js')

export class PeerHandle {
  readonly #child: ChildProcess = fork(program)

  async tell(order: PeerOrder): Promise<PeerAnswer> {
    const answered = once(this.#child, 'message')
    this.#child.send(order)
    const [answer] = (await answered) as [PeerAnswer]
    return answer
  }

  async end(): Promise<void> {
    const ended = once(this.#child, 'exit')
    this.#child.disconnect()
    await ended
  }
}
