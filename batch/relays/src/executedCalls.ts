/** The calls that a relay has taken for execution, so that a batch that is delivered twice is executed once. */

/** How long an id is kept beyond the latest time of its order: a copy that arrives even later is refused by that time. */
const retentionMs = 30_000
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
    this.#keptUntilMs.set(keyOf(term, callId), Math.max(sendByMs, nowMs) + retentionMs)
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
