/** The outcomes of calls that a relay keeps until the leader takes them. */
import type { Clock } from '@nettlespur/core.clock'
import type { RelayAnswers } from './relayMessages.js'

type CallOutcomes = RelayAnswers['outcomes']

/** An outcome waits this long for others that it can be sent with. */
const batchMs = 10
/** Outcomes in one answer: lists of running runs are the largest, a few kilobytes each. */
const batchCountMax = 256
/** If the leader takes none, its calls have long been given up: the oldest outcomes are dropped. */
const countMax = 8192

export class OutcomeQueue {
  readonly #clock: Clock
  #outcomes: CallOutcomes = []
  #taking: AbortController | undefined
  #isWaking = false

  constructor(clock: Clock) {
    this.#clock = clock
  }

  add(outcome: CallOutcomes[number]): void {
    this.#outcomes.push(outcome)
    if (this.#outcomes.length > countMax) this.#outcomes.shift()
    if (this.#isWaking) return
    this.#isWaking = true
    this.#clock.setTimer(batchMs, () => {
      this.#isWaking = false
      this.#taking?.abort()
    })
  }

  clear(): void {
    this.#outcomes = []
  }

  /**
   * Resolves with the outcomes that are there within `waitMs`. Resolves empty if none are, or once another call of this
   * method waits: the leader has given up the earlier one.
   */
  async take(waitMs: number): Promise<CallOutcomes> {
    this.#taking?.abort()
    const taking = new AbortController()
    this.#taking = taking
    await this.#clock.sleep(this.#outcomes.length > 0 ? batchMs : waitMs, taking.signal)
    if (this.#taking !== taking) return []
    this.#taking = undefined
    return this.#outcomes.splice(0, batchCountMax)
  }
}
