/** The outcomes of calls that a relay keeps until the leader takes them. */
import type { Clock } from '@nettlespur/core.clock'
import { outcomesMax, type RelayAnswers } from './relayMessages.js'

type CallOutcomes = RelayAnswers['outcomes']

/** If the leader takes none, its calls have long been given up: the oldest outcomes are dropped. */
const countMax = 8192

export interface TakeOptions {
  /** How long to wait for outcomes. */
  waitMs: number
  /** How long the first outcome waits for others that it can be sent with. */
  batchMs: number
}

export class OutcomeQueue {
  readonly #clock: Clock
  #outcomes: CallOutcomes = []
  /** Wakes the call of `take` that waits for the first outcome. */
  #wake = new AbortController()
  #latestTake = 0

  constructor(clock: Clock) {
    this.#clock = clock
  }

  add(outcome: CallOutcomes[number]): void {
    this.#outcomes.push(outcome)
    if (this.#outcomes.length > countMax) this.#outcomes.shift()
    this.#wake.abort()
  }

  clear(): void {
    this.#outcomes = []
  }

  /** Returns the outcomes that are there. */
  takeReady(): CallOutcomes {
    return this.#outcomes.splice(0, outcomesMax)
  }

  /**
   * Resolves with outcomes, or empty if there are none in time. Resolves empty too once this method is called again: the
   * leader has given up the earlier call.
   */
  async take({ waitMs, batchMs }: TakeOptions): Promise<CallOutcomes> {
    this.#latestTake += 1
    const take = this.#latestTake
    this.#wake.abort()
    const endMs = this.#clock.monotonicMs() + waitMs
    while (take === this.#latestTake) {
      if (this.#outcomes.length === 0) {
        const leftMs = endMs - this.#clock.monotonicMs()
        if (leftMs <= 0) return []
        this.#wake = new AbortController()
        await this.#clock.sleep(leftMs, this.#wake.signal)
        continue
      }
      await this.#clock.sleep(batchMs)
      if (take === this.#latestTake && this.#outcomes.length > 0) return this.takeReady()
    }
    return []
  }
}
