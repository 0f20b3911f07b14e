/** The last time that something happened, by key, kept for a limited time. */
export class RecentTimes {
  readonly #retentionMs: number
  /** The oldest first. */
  readonly #byKey = new Map<string, number>()

  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs
  }

  note(key: string, nowMs: number): void {
    for (const [oldKey, atMs] of this.#byKey) {
      if (nowMs - atMs < this.#retentionMs) break
      this.#byKey.delete(oldKey)
    }
    this.#byKey.delete(key)
    this.#byKey.set(key, nowMs)
  }

  /** Whether it happened within the retention time. */
  has(key: string, nowMs: number): boolean {
    if (this.#byKey.size === 0) return false
    return nowMs - (this.#byKey.get(key) ?? -Infinity) < this.#retentionMs
  }

  /** How many keys are kept; some of them may be past the retention time. */
  get size(): number {
    return this.#byKey.size
  }
}
