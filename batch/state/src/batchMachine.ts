/** The Raft state machine: applies committed commands to the batch state. Commands and snapshots are JSON. */
import { findStoredFault, readStoredJson, StateMachine } from '@nettlespur/consensus.raft'
import { Subject } from 'rxjs'
import { batchSnapshotSchema } from './batchSnapshot.js'
import { BatchState } from './batchState.js'
import { commandSchema, type Command, type CommandOutcome } from './command.js'

export interface BatchMachineOptions {
  /** Called to run each application of a command, which it may time. */
  measure?: (apply: () => CommandOutcome) => CommandOutcome
}

export class BatchMachine extends StateMachine<CommandOutcome> {
  state = new BatchState()
  /** Emits each command after it has been applied. */
  readonly applied = new Subject<Command>()
  readonly #measure: (apply: () => CommandOutcome) => CommandOutcome

  constructor({ measure = (apply) => apply() }: BatchMachineOptions = {}) {
    super()
    this.#measure = measure
  }

  findFault(command: Buffer): string | undefined {
    return findStoredFault(commandSchema, command)
  }

  apply(index: number, command: Buffer): CommandOutcome {
    return this.#measure(() => this.#apply(index, command))
  }

  #apply(index: number, command: Buffer): CommandOutcome {
    const parsed = readStoredJson(commandSchema, command, `the command at ${index}`)
    const outcome = this.state.apply(parsed)
    this.applied.next(parsed)
    return outcome
  }

  takeSnapshot(): Buffer {
    return Buffer.from(JSON.stringify(this.state.snapshot()), 'utf8')
  }

  restore(index: number, snapshot: Buffer): void {
    const what = `the snapshot at ${index}`
    this.state = BatchState.restore(readStoredJson(batchSnapshotSchema, snapshot, what))
  }
}

export function encodeCommand(command: Command): Buffer {
  return Buffer.from(JSON.stringify(command), 'utf8')
}
