/** The replicated state: committed commands are applied to it in the same order on each member. */
// The rule only counts uses within the class; `R` is also the result type of a node's proposals.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class StateMachine<R> {
  /** Returns why `apply` could not read the command; undefined if it can. Changes nothing. */
  abstract findFault(command: Buffer): string | undefined
  /** Must give the same result for the same commands on each member, and must not throw for one without a fault. */
  abstract apply(index: number, command: Buffer): R
  /** Returns the whole state after the last applied command. */
  abstract takeSnapshot(): Buffer
  /** Replaces the whole state with a snapshot taken at `index`. */
  abstract restore(index: number, snapshot: Buffer): void
}
