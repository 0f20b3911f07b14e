/** Applies committed commands to the control state. Commands and snapshots are JSON, checked when read. */
import { StateMachine } from '@nettlespur/consensus.raft'
import {
  commandSchema,
  stateSnapshotSchema,
  type Command,
  type CommandResult,
  type StateHolder,
} from '@nettlespur/control.state'
import { NettlespurError } from '@nettlespur/core.errors'
import type { z } from 'zod'

export class ControlMachine extends StateMachine<CommandResult> {
  readonly #holder: StateHolder

  constructor(holder: StateHolder) {
    super()
    this.#holder = holder
  }

  apply(index: number, command: Buffer): CommandResult {
    return this.#holder.apply(index, readJson(commandSchema, command, `the command at ${index}`))
  }

  takeSnapshot(): Buffer {
    return Buffer.from(JSON.stringify(this.#holder.state.snapshot()), 'utf8')
  }

  restore(index: number, snapshot: Buffer): void {
    this.#holder.restore(readJson(stateSnapshotSchema, snapshot, `the snapshot at ${index}`))
  }
}

export function encodeJson(command: Command): Buffer {
  return Buffer.from(JSON.stringify(command), 'utf8')
}

/** Errors: throws `storage-damaged`. */
function readJson<T>(schema: z.ZodType<T>, bytes: Buffer, what: string): T {
  const parsed = schema.safeParse(JSON.parse(bytes.toString('utf8')))
  if (parsed.success) return parsed.data
  throw new NettlespurError('storage-damaged', `${what} cannot be read: ${parsed.error.message}`)
}
