/** How long each starving unit has been starving, across rounds. Kept in the leader's memory. */
import { unitKey, type UnitRef } from '@nettlespur/batch.model'

export class StarvationTimes {
  #sinceMs = new Map<string, number>()

  /** Call it after each round, with all units that starve then. Returns how long those starved that no longer do. */
  noteRound(starving: readonly UnitRef[], nowMs: number): number[] {
    const before = this.#sinceMs
    this.#sinceMs = new Map(
      starving.map((unit) => [unitKey(unit), before.get(unitKey(unit)) ?? nowMs]),
    )
    return [...before].flatMap(([key, sinceMs]) =>
      this.#sinceMs.has(key) ? [] : [nowMs - sinceMs],
    )
  }

  /** Returns 0 if the unit did not starve in the last round. */
  starvedMs(unit: UnitRef, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(unitKey(unit)) ?? nowMs)
  }
}
