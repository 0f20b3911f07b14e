/** The ends that one process of a fake upstream lists until they are acknowledged. Their numbers begin at 1. */
import type { RunRef } from '@nettlespur/batch.model'
import type { FinishedOutcome, FinishedRun } from '@nettlespur/batch.sessions'

/** As the platform's agreement says. */
const listedMax = 500

export interface EndListOptions {
  /** See `FakeUpstreamOptions`. */
  remembersCursor: boolean
  /** Called once for each acknowledged end that still counts. */
  onAcknowledged: (run: RunRef) => void
}

export class EndList {
  readonly #opts: EndListOptions
  #ends: FinishedRun[] = []
  #count = 0
  #highestCursor = 0
  /** Ends up to this number happened before a lease lapsed: by the platform's agreement they no longer count. */
  #lastLapsed = 0

  constructor(opts: EndListOptions) {
    this.#opts = opts
  }

  get isEmpty(): boolean {
    return this.#ends.length === 0
  }

  /** Returns the oldest ends, `listedMax` at most. */
  list(): FinishedRun[] {
    return this.#ends.slice(0, listedMax)
  }

  add(run: RunRef, outcome: FinishedOutcome): void {
    this.#count += 1
    this.#ends.push({ number: this.#count, run, outcome, checkpoint: '' })
  }

  /** To be called after each `add`, once the end is recorded elsewhere. */
  applyRememberedCursor(): void {
    if (this.#opts.remembersCursor) this.acknowledge(this.#highestCursor)
  }

  /** Forgets the ends up to this number. */
  acknowledge(cursor: number): void {
    this.#highestCursor = Math.max(this.#highestCursor, cursor)
    for (const { number, run } of this.#ends) {
      if (number <= cursor && number > this.#lastLapsed) this.#opts.onAcknowledged(run)
    }
    this.#ends = this.#ends.filter(({ number }) => number > cursor)
  }

  /** The lease has lapsed: what has ended before no longer counts. */
  lapse(): void {
    this.#lastLapsed = this.#count
  }
}
