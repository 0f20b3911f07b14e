/** The Raft state machine: applies committed commands to the batch state. Commands and snapshots are JSON. */
import { readStoredJson, StateMachine, type PreparedCommand } from '@nettlespur/consensus.raft'
import { Subject } from 'rxjs'
import { batchSnapshotSchema } from './batchSnapshot.js'
import { BatchState } from './batchState.js'
import { commandSchema, type Command, type CommandOutcome } from './command.js'

export interface BatchMachineOptions {
  /** Called to run the work of reading and applying commands, which it may time. */
  measure?: <T>(work: () => T) => T
}

export class BatchMachine extends StateMachine<CommandOutcome> {
  state = new BatchState()
  /** Emits each command after it has been applied. */
  readonly applied = new Subject<Command>()
  readonly #measure: <T>(work: () => T) => T

  constructor({ measure = (work) => work() }: BatchMachineOptions = {}) {
    super()
    this.#measure = measure
  }

  override prepare(command: Buffer, what: string): PreparedCommand<CommandOutcome> {
    const parsed = this.#measure(() => readStoredJson(commandSchema, command, what))
    return () =>
      this.#measure(() => {
        const outcome = this.state.apply(parsed)
        this.applied.next(parsed)
        return outcome
      })
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
