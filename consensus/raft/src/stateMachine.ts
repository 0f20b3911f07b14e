/** What committed commands are applied to, in the same order on each member. */
// The rule counts uses within the class; what ties the type to a node's proposals lies outside it.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class StateMachine<R> {
  /** Must give the same result for the same commands on each member, and must not throw. */
  abstract apply(index: number, command: Buffer): R
  /** The whole state as it stands after the last applied command. */
  abstract takeSnapshot(): Buffer
  /** Replaces the whole state by one taken at `index`. */
  abstract restore(index: number, snapshot: Buffer): void
}
