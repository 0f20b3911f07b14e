/** When each of a changing set of ids was first seen, by the times that the caller passes in. */
export class FirstSeenTimes {
  readonly #atMs = new Map<string, number>()

  /** Adds new ids and forgets those that are no longer in the set. */
  update(ids: ReadonlySet<string>, nowMs: number): void {
    for (const id of this.#atMs.keys()) {
      if (!ids.has(id)) this.#atMs.delete(id)
    }
    for (const id of ids) {
      if (!this.#atMs.has(id)) this.#atMs.set(id, nowMs)
    }
  }

  /** Lists the ids that were first seen at least `ageMs` ago. */
  listOlderThan(ageMs: number, nowMs: number): string[] {
    return [...this.#atMs].flatMap(([id, atMs]) => (nowMs - atMs >= ageMs ? [id] : []))
  }
}
