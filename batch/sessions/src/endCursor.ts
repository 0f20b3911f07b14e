/** Which ends of one life of an upstream are committed here, and so may be forgotten there. */
import type { FinishedRun } from './upstreamPort.js'

export class EndCursor {
  #committed = 0
  #reported = 0

  /** All ends up to this number are committed, or are of nothing that is placed there. */
  get committed(): number {
    return this.#committed
  }

  /** Ends were shown that have not been acknowledged. */
  get hasUnacknowledged(): boolean {
    return this.#committed < this.#reported
  }

  noteReported(finished: readonly FinishedRun[]): void {
    this.#reported = Math.max(this.#reported, ...finished.map(({ number }) => number))
  }

  /** The ends shown are committed. */
  advance(): void {
    this.#committed = this.#reported
  }
}
