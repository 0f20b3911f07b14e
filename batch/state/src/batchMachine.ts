/** Applies committed commands to the state, on each member alike. Commands and snapshots are JSON. */
import { StateMachine } from '@nettlespur/consensus.raft'
import { NettlespurError } from '@nettlespur/core.errors'
import { Subject } from 'rxjs'
import type { z } from 'zod'
import { batchSnapshotSchema, BatchState } from './batchState.js'
import { commandSchema, type Command, type CommandOutcome } from './command.js'

export class BatchMachine extends StateMachine<CommandOutcome> {
  state = new BatchState()
  /** Told after each applied command. */
  readonly applied = new Subject<Command>()

  apply(index: number, command: Buffer): CommandOutcome {
    const parsed = readJson(commandSchema, command, `the command at ${index}`)
    const outcome = this.state.apply(parsed)
    this.applied.next(parsed)
    return outcome
  }

  takeSnapshot(): Buffer {
    return Buffer.from(JSON.stringify(this.state.snapshot()), 'utf8')
  }

  restore(index: number, snapshot: Buffer): void {
    const what = `the snapshot at ${index}`
    this.state = BatchState.restore(readJson(batchSnapshotSchema, snapshot, what))
  }
}

export function encodeCommand(command: Command): Buffer {
  return Buffer.from(JSON.stringify(command), 'utf8')
}

/** Errors: throws `storage-damaged`. */
function readJson<T>(schema: z.ZodType<T>, bytes: Buffer, what: string): T {
  const parsed = schema.safeParse(JSON.parse(bytes.toString('utf8')))
  if (parsed.success) return parsed.data
  throw new NettlespurError('storage-damaged', `${what} cannot be read: ${parsed.error.message}`)
}
