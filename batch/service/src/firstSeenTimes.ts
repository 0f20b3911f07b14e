/** When each of a changing set of ids was first seen, on the clock of its user. */
export class FirstSeenTimes {
  readonly #atMs = new Map<string, number>()

  /** Takes in new ids and forgets those that are no longer among them. */
  update(ids: ReadonlySet<string>, nowMs: number): void {
    for (const id of this.#atMs.keys()) {
      if (!ids.has(id)) this.#atMs.delete(id)
    }
    for (const id of ids) {
      if (!this.#atMs.has(id)) this.#atMs.set(id, nowMs)
    }
  }

  /** Ids that were first seen at least this long ago. */
  listOlderThan(ageMs: number, nowMs: number): string[] {
    return [...this.#atMs].flatMap(([id, atMs]) => (nowMs - atMs >= ageMs ? [id] : []))
  }
}
