/** Random numbers that are the same for the same seed (mulberry32). */
export class SeededRandom {
  #state: number

  constructor(seed: number) {
    this.#state = seed
  }

  /** At least 0, below 1. */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) | 0
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), this.#state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  between(low: number, high: number): number {
    return low + this.next() * (high - low)
  }

  chance(probability: number): boolean {
    return this.next() < probability
  }

  /** One of these, by weight. */
  pick<T>(choices: readonly (readonly [T, number])[]): T {
    const total = choices.reduce((sum, [, weight]) => sum + weight, 0)
    let left = this.next() * total
    for (const [value, weight] of choices) {
      left -= weight
      if (left < 0) return value
    }
    throw new Error('nothing to pick from')
  }

  /** With the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next())
  }

  /** Around `median`; `spread` is the standard deviation of the logarithm. */
  logNormal(median: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()))
    return median * Math.exp(spread * radius * Math.cos(2 * Math.PI * this.next()))
  }
}
