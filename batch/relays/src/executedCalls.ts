/** The calls that a relay has taken for execution, so that a batch that is delivered twice is executed once. */

/** Longer than an order may be under way: after that its time to be sent is over on any clock. */
const keptBeyondMs = 30_000
const countBeforePruning = 1024

export class ExecutedCalls {
  /** Until when each call is kept, on the relay's monotonic clock. */
  readonly #keptUntilMs = new Map<string, number>()
  #pruneAtCount = countBeforePruning

  has(term: number, callId: number): boolean {
    return this.#keptUntilMs.has(keyOf(term, callId))
  }

  add(term: number, callId: number, sendByMs: number, nowMs: number): void {
    if (this.#keptUntilMs.size >= this.#pruneAtCount) this.#prune(nowMs)
    this.#keptUntilMs.set(keyOf(term, callId), Math.max(sendByMs, nowMs) + keptBeyondMs)
  }

  #prune(nowMs: number): void {
    for (const [key, keptUntilMs] of this.#keptUntilMs) {
      if (keptUntilMs < nowMs) this.#keptUntilMs.delete(key)
    }
    this.#pruneAtCount = Math.max(countBeforePruning, 2 * this.#keptUntilMs.size)
  }
}

function keyOf(term: number, callId: number): string {
  return `${term}/${callId}`
}
