/** A state that is the list of its commands, checked against what any other node applied. */
import { StateMachine } from '../src/index.js'

export class RecordingMachine extends StateMachine<number> {
  readonly applied: string[] = []
  readonly #history: string[]

  /** `history` is shared: the first node to apply a command adds it. */
  constructor(history: string[]) {
    super()
    this.#history = history
  }

  apply(_index: number, command: Buffer): number {
    this.#record(command.toString('utf8'))
    return this.applied.length
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
