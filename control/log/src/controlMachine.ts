/** Applies committed commands to the control state. Commands and snapshots are JSON, validated when read. */
import { findStoredFault, readStoredJson, StateMachine } from '@nettlespur/consensus.raft'
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

  findFault(command: Buffer): string | undefined {
    return findStoredFault(commandSchema, command)
  }

  apply(index: number, command: Buffer): CommandResult {
    return this.#holder.apply(
      index,
      readStoredJson(commandSchema, command, `the command at ${index}`),
    )
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
