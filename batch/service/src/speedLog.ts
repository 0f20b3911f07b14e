/** Describes for the log, and counts, what a round has decided for the sake of speed. */
import { unitKey } from '@nettlespur/batch.model'
import {
  StarvationTimes,
  type GradedPool,
  type SpeedChoice,
  type SpeedDecisions,
} from '@nettlespur/batch.scheduler'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { Placement } from '@nettlespur/batch.state'

const hundredths = 100
/** As long as a pool is placed by speed, the log says so once in this time. */
const poolLogIntervalMs = 60_000

export interface SpeedLogOptions {
  logger: Logger
  metrics: MetricsRegistry
}

export class SpeedLog {
  readonly #opts: SpeedLogOptions
  /** When each pool was last logged. */
  readonly #poolLoggedAtMs = new Map<string, number>()
  /** For how long units have been held back. */
  readonly #holdTimes = new StarvationTimes()
  /** Units of the last round. */
  #choices: ReadonlyMap<string, SpeedChoice> = new Map()
  /** Units of the last round that had been held back until then, and for how long. */
  #heldMs: ReadonlyMap<string, number> = new Map()

  constructor(opts: SpeedLogOptions) {
    this.#opts = opts
  }

  /** Call it after each round; `speed` is undefined if no pool called for placement by speed. */
  noteRound(speed: SpeedDecisions | undefined, nowMs: number): void {
    const { metrics } = this.#opts
    const { pools = [], choices = [], held = [] } = speed ?? {}
    this.#logPools(pools, nowMs)
    this.#choices = new Map(choices.map((choice) => [unitKey(choice), choice]))
    this.#heldMs = new Map(
      choices.map((unit) => [unitKey(unit), this.#holdTimes.starvedMs(unit, nowMs)]),
    )
    for (const heldMs of this.#holdTimes.noteRound(held, nowMs))
      metrics.recordMs('unit_held_for_speed_ms', heldMs)
    for (const { isTooSlow } of choices)
      metrics.count(isTooSlow ? 'units_placed_too_slow_total' : 'units_placed_by_speed_total')
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

  #logPools(pools: readonly GradedPool[], nowMs: number): void {
    for (const { pool, urgentSpeed, slowUpstreams, upstreams } of pools) {
      if (nowMs - (this.#poolLoggedAtMs.get(pool) ?? -Infinity) < poolLogIntervalMs) continue
      this.#poolLoggedAtMs.set(pool, nowMs)
      this.#opts.logger.info({
        event: 'pool.by-speed',
        pool,
        urgentSpeed: roundToHundredths(urgentSpeed),
        slowUpstreams,
        upstreams,
      })
    }
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * hundredths) / hundredths
}
