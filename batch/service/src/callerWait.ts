/** How long the caller of a request waits, and whether it is still there. */

export interface CallerWait {
  /** How long the caller waits for its answer, from the arrival of its call; absent if it set no deadline. */
  readonly deadlineMs?: number | undefined
  /** Aborted when the caller disconnects before it has its answer. */
  readonly gone?: AbortSignal | undefined
}
