/** What a process knows of the caller for whom it makes a call. */

export interface CallerWait {
  /** How long the caller waits for its answer, counted from when its call came; absent where it did not say. */
  readonly deadlineMs?: number | undefined
  /** Aborted when the caller goes away before its answer. */
  readonly gone?: AbortSignal | undefined
}
