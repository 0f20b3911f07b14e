/** Tracks which reported ends of runs are committed, so that the upstream may forget them. */
import { maxOf } from '@nettlespur/core.lists'
import type { FinishedRun } from './upstreamPort.js'

export class EndCursor {
  #committed = 0
  #reported = 0

  /** All ends up to this number are committed, or belong to runs that are not placed there. */
  get committed(): number {
    return this.#committed
  }

  /** The highest number of an end that was listed so far. */
  get reported(): number {
    return this.#reported
  }

  /** Whether reported ends have not been acknowledged yet. */
  get hasUnacknowledged(): boolean {
    return this.#committed < this.#reported
  }

  noteReported(finished: readonly FinishedRun[]): void {
    this.#reported = maxOf(
      finished.map(({ number }) => number),
      this.#reported,
    )
  }

  /** To be called once all ends reported so far are committed. */
  advance(): void {
    this.#committed = this.#reported
  }
}
