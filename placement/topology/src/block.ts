/** A set of accelerators on one upstream. */
export interface Block {
  readonly upstreamId: string
  readonly acceleratorIndexes: readonly number[]
}
