/**
 * A state machine whose state is the list of applied commands. Applying a command throws if another node has applied
 * a different one at the same position.
 */
import { StateMachine, type PreparedCommand } from '../src/index.js'

export class RecordingMachine extends StateMachine<number> {
  readonly applied: string[] = []
  readonly #history: string[]

  /** `history` is shared by all nodes: the first node that applies a command appends it. */
  constructor(history: string[]) {
    super()
    this.#history = history
  }

  prepare(command: Buffer): PreparedCommand<number> {
    return () => {
      this.#record(command.toString('utf8'))
      return this.applied.length
    }
  }

  takeSnapshot(): Buffer {
    return Buffer.from(JSON.stringify(this.applied))
  }

  restore(_index: number, snapshot: Buffer): void {
    this.applied.length = 0
    for (const command of JSON.parse(snapshot.toString('utf8')) as string[]) this.#record(command)
  }

  #record(command: string): void {
    const position = this.applied.length
    const expected = this.#history[position]
    if (expected === undefined) this.#history.push(command)
    else if (expected !== command) {
      throw new Error(`at ${position}: ${command} here, ${expected} elsewhere`)
    }
    this.applied.push(command)
  }
}
