/** Applies committed commands to the control state. Commands and snapshots are JSON, validated when read. */
import { readStoredJson, StateMachine, type PreparedCommand } from '@nettlespur/consensus.raft'
import {
  commandSchema,
  stateSnapshotSchema,
  type Command,
  type CommandResult,
  type StateHolder,
} from '@nettlespur/control.state'

export class ControlMachine extends StateMachine<CommandResult> {
  readonly #holder: StateHolder

  constructor(holder: StateHolder) {
    super()
    this.#holder = holder
  }

  override prepare(command: Buffer, what: string): PreparedCommand<CommandResult> {
    const parsed = readStoredJson(commandSchema, command, what)
    return (index) => this.#holder.apply(index, parsed)
  }

  takeSnapshot(): Buffer {
    return Buffer.from(JSON.stringify(this.#holder.state.snapshot()), 'utf8')
  }

  restore(index: number, snapshot: Buffer): void {
    this.#holder.restore(readStoredJson(stateSnapshotSchema, snapshot, `the snapshot at ${index}`))
  }
}

export function encodeCommand(command: Command): Buffer {
  return Buffer.from(JSON.stringify(command), 'utf8')
}
