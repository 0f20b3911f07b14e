/** Starts fleets of stand-in upstreams, one process each. */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import path from 'node:path'
import type { FleetOptions } from './fleetOptions.js'

const program = path.join(import.meta.dirname, 'fleetProcess.js')

export class Fleet {
  readonly #children: ChildProcess[] = []

  /** Resolves once every upstream listens. */
  async add(opts: FleetOptions): Promise<void> {
    const child = fork(program, [JSON.stringify(opts)])
    this.#children.push(child)
    await once(child, 'message')
  }

  async end(): Promise<void> {
    const ended = this.#children.map((child) => once(child, 'exit'))
    for (const child of this.#children) child.disconnect()
    await Promise.all(ended)
  }
}
