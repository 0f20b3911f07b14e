/** Describes for the log, and counts, what a round has decided for the sake of speed. */
import { unitKey } from '@nettlespur/batch.model'
import { StarvationTimes, type SpeedChoice, type SpeedDecisions } from '@nettlespur/batch.scheduler'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { Placement } from '@nettlespur/batch.state'

const hundredths = 100

export class SpeedLog {
  readonly #metrics: MetricsRegistry
  /** For how long units have been held back. */
  readonly #holdTimes = new StarvationTimes()
  /** Units of the last round. */
  #choices: ReadonlyMap<string, SpeedChoice> = new Map()
  /** Units of the last round that had been held back until then, and for how long. */
  #heldMs: ReadonlyMap<string, number> = new Map()

  constructor(metrics: MetricsRegistry) {
    this.#metrics = metrics
  }

  /** Call it after each round; `speed` is undefined if no pool called for placement by speed. */
  noteRound(speed: SpeedDecisions | undefined, nowMs: number): void {
    const choices = speed?.choices ?? []
    this.#choices = new Map(choices.map((choice) => [unitKey(choice), choice]))
    this.#heldMs = new Map(
      choices.map((unit) => [unitKey(unit), this.#holdTimes.starvedMs(unit, nowMs)]),
    )
    for (const heldMs of this.#holdTimes.noteRound(speed?.held ?? [], nowMs))
      this.#metrics.recordMs('unit_held_for_speed_ms', heldMs)
    for (const { isTooSlow } of choices)
      this.#metrics.count(isTooSlow ? 'units_placed_too_slow_total' : 'units_placed_by_speed_total')
  }

  /** Returns no fields for a run in a pool that did not call for placement by speed in the last round. */
  describe(run: Placement): Readonly<Record<string, number>> {
    const key = unitKey(run)
    const choice = this.#choices.get(key)
    if (choice === undefined) return {}
    return {
      neededSpeed: roundToHundredths(choice.neededSpeed),
      lowestSpeed: roundToHundredths(choice.lowestSpeed),
      heldForSpeedMs: Math.round(this.#heldMs.get(key) ?? 0),
    }
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * hundredths) / hundredths
}
