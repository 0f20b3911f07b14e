/** The replicated state: committed commands are applied to it in the same order on each member. */

/**
 * Applies a command that was read at the given log index. Must give the same result for the same commands on each member,
 * and must not throw.
 */
export type PreparedCommand<R> = (index: number) => R

export abstract class StateMachine<R> {
  /**
   * Reads a command, and returns the function that applies it. Changes nothing. `what` names the command in errors. Errors:
   * throws `storage-damaged` if the command cannot be read.
   */
  abstract prepare(command: Buffer, what: string): PreparedCommand<R>
  /** Returns the whole state after the last applied command. */
  abstract takeSnapshot(): Buffer
  /** Replaces the whole state with a snapshot taken at `index`. */
  abstract restore(index: number, snapshot: Buffer): void

  /** Reads and applies a command. Errors: as `prepare`. */
  apply(index: number, command: Buffer): R {
    return this.prepare(command, `the command at ${index}`)(index)
  }
}
