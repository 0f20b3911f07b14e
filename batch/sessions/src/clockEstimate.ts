/**
 * What an upstream's steady clock shows at least. Each answer gives a reading that is a little old when it
 * arrives; from then on the clock has run at least at the slowest rate allowed.
 */

/** An upstream's clock may be slower than ours by 2 %, by the platform's agreement. */
const slowestRate = 0.98

export class ClockEstimate {
  #clockMs = 0
  #readAtMs: number | undefined

  get hasReading(): boolean {
    return this.#readAtMs !== undefined
  }

  /** `receivedAtMs` is our own clock's time. */
  noteReading(clockMs: number, receivedAtMs: number): void {
    if (this.#readAtMs !== undefined && clockMs <= this.lowerBoundMs(receivedAtMs)) return
    this.#clockMs = clockMs
    this.#readAtMs = receivedAtMs
  }

  /** The upstream's clock shows this or more; 0 where nothing is known. */
  lowerBoundMs(nowMs: number): number {
    return this.#readAtMs === undefined ? 0 : this.#clockMs + (nowMs - this.#readAtMs) * slowestRate
  }

  /** How long, by our clock, until a span of the upstream's has surely passed. */
  static toMaxLocalMs(upstreamMs: number): number {
    return upstreamMs / slowestRate
  }
}
