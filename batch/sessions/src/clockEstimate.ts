/**
 * A lower bound for an upstream's monotonic clock. Each answer carries a reading that is slightly old when it arrives;
 * since then the clock has advanced at no less than the slowest allowed rate.
 */

/** The platform's agreement allows an upstream's clock to run up to 2 % slower than the leader's. */
const slowestRate = 0.98

export class ClockEstimate {
  #clockMs = 0
  #readAtMs: number | undefined

  get hasReading(): boolean {
    return this.#readAtMs !== undefined
  }

  /**
   * Records a reading of the upstream's clock that was received at `receivedAtMs` on the leader's clock. A reading that
   * does not raise the bound is ignored.
   */
  noteReading(clockMs: number, receivedAtMs: number): void {
    if (this.#readAtMs !== undefined && clockMs <= this.lowerBoundMs(receivedAtMs)) return
    this.#clockMs = clockMs
    this.#readAtMs = receivedAtMs
  }

  /** Records the reading in an answer that was received at `receivedAtMs`; undefined if it states none. */
  noteAnswer(clockMs: number | undefined, receivedAtMs: number): void {
    if (clockMs !== undefined) this.noteReading(clockMs, receivedAtMs)
  }

  /** The least that the upstream's clock can show at `nowMs` on the leader's clock; 0 before the first reading. */
  lowerBoundMs(nowMs: number): number {
    return this.#readAtMs === undefined ? 0 : this.#clockMs + (nowMs - this.#readAtMs) * slowestRate
  }

  /** The time on the leader's clock after which `upstreamMs` have certainly passed on the upstream's clock. */
  static toMaxLocalMs(upstreamMs: number): number {
    return upstreamMs / slowestRate
  }
}
