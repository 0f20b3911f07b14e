/**
 * The pauses between searches for a leader. An election takes about a second, so the first searches come soon; what
 * lasts longer is asked about less often, and not by all processes at the same moments. In an outage of 6 s a process
 * searches at most 25 times, and 97 processes cost each of five members at most 400 small calls a second.
 */

const firstMs = 50
const longestMs = 400
const growth = 2
/** Pauses are drawn from this share of their length up to the whole. */
const leastShare = 0.6

export class SearchPauses {
  readonly #random: () => number
  #lengthMs = firstMs

  /** `random` gives a number in [0, 1). */
  constructor(random: () => number = Math.random) {
    this.#random = random
  }

  nextMs(): number {
    const lengthMs = this.#lengthMs
    this.#lengthMs = Math.min(longestMs, lengthMs * growth)
    return lengthMs * (leastShare + (1 - leastShare) * this.#random())
  }
}
