/**
 * The clock every timed part is handed. Leases and deadlines use `monotonicMs`, which never goes back;
 * `now` is for what people read.
 */

/** A timer that can be cancelled once. */
export interface Timer {
  cancel(): void
}

export interface Clock {
  /** The wall time. */
  now(): Date
  /** Milliseconds from an arbitrary start; never goes back. */
  monotonicMs(): number
  /** Runs `run` once after `delayMs`. */
  setTimer(delayMs: number, run: () => void): Timer
  /** Resolves after `durationMs`, or at once when `signal` is aborted. Never rejects. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>
}
