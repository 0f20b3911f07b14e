/**
 * Recent outcomes of one upstream as seen by this entry, and how much work it may get (outlier ejection). An
 * upstream that fails most of its requests, or is slow, is ejected for a time that doubles with each relapse.
 * It then is on trial: one request at a time, twice as many with each success, until it is trusted again.
 */
import type { Clock } from '@nettlespur/core.clock'

const outcomesKept = 20
const outcomesNeeded = 5
const failureShareMax = 0.5
const newestShare = 0.1
const shortestEjectionMs = 1000
const longestEjectionMs = 60_000
/** The trial ends once its limit exceeds this. */
const trialSlotsMax = 64

export class UpstreamRecord {
  inFlight = 0
  readonly #clock: Clock
  #outcomes: boolean[] = []
  #meanMs = 0
  #answers = 0
  #ejectedUntilMs = Number.NEGATIVE_INFINITY
  #outMs = shortestEjectionMs
  /** Maximum concurrent requests while on trial; undefined while trusted. */
  #trialSlots: number | undefined

  constructor(clock: Clock) {
    this.#clock = clock
  }

  get isEjected(): boolean {
    return this.#clock.monotonicMs() < this.#ejectedUntilMs
  }

  get ejectedUntilMs(): number {
    return this.#ejectedUntilMs
  }

  get hasTrialCapacity(): boolean {
    return this.#trialSlots === undefined || this.inFlight < this.#trialSlots
  }

  /** Mean time to an answer; undefined if there were too few answers. */
  get meanMs(): number | undefined {
    return this.#answers < outcomesNeeded ? undefined : this.#meanMs
  }

  get hasHighFailureRate(): boolean {
    const failures = this.#outcomes.filter((good) => !good).length
    const seen = this.#outcomes.length
    if (this.#trialSlots !== undefined) return failures > 0
    return seen >= outcomesNeeded && failures / seen > failureShareMax
  }

  noteAnswer(tookMs: number): void {
    this.#note(true)
    this.#answers += 1
    this.#meanMs += (tookMs - this.#meanMs) * Math.max(newestShare, 1 / this.#answers)
    if (this.#trialSlots === undefined) return
    this.#trialSlots *= 2
    if (this.#trialSlots <= trialSlotsMax) return
    this.#trialSlots = undefined
    this.#outMs = shortestEjectionMs
  }

  noteFailure(): void {
    this.#note(false)
  }

  /** Ejects the upstream and starts its trial afterwards. Returns the duration of the ejection in milliseconds. */
  eject(): number {
    const outMs = this.#outMs
    this.#ejectedUntilMs = this.#clock.monotonicMs() + outMs
    this.#outMs = Math.min(longestEjectionMs, outMs * 2)
    this.#trialSlots = 1
    this.#outcomes = []
    this.#answers = 0
    return outMs
  }

  #note(good: boolean): void {
    this.#outcomes = [...this.#outcomes.slice(1 - outcomesKept), good]
  }
}
