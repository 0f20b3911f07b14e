/** Logs what urgent work is expected to claim, at most once every ten seconds for a pool, and counts the units held back. */
import type { UnitRef } from '@nettlespur/batch.model'
import type { ExpectedClaims, HeadroomWatch } from '@nettlespur/batch.scheduler'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

const logIntervalMs = 10_000

export interface HeadroomLogOptions {
  logger: Logger
  metrics: MetricsRegistry
  /** Absent where nothing is kept free. */
  headroom: HeadroomWatch | undefined
  /** The time over which the demand of urgent work is measured. */
  windowMs: number
}

interface LoggedHeadroom {
  readonly taskCount: number
  readonly atMs: number
}

export class HeadroomLog {
  readonly #opts: HeadroomLogOptions
  readonly #logged = new Map<string, LoggedHeadroom>()

  constructor(opts: HeadroomLogOptions) {
    this.#opts = opts
    opts.metrics.gauge('headroom_wanted_accelerators', () => this.#sumAccelerators())
  }

  /** Call it after each round, with the units that were held back for the first time. */
  noteRound(heldBack: readonly UnitRef[], nowMs: number): void {
    const { headroom, metrics } = this.#opts
    if (headroom === undefined) return
    if (heldBack.length > 0) metrics.count('units_held_back_total', heldBack.length)
    const kept = headroom.list()
    for (const pool of this.#logged.keys()) if (!kept.has(pool)) this.#logged.delete(pool)
    for (const [pool, expected] of kept) this.#logIfChanged(pool, expected, nowMs)
  }

  #logIfChanged(pool: string, { taskNeeds, taskCount }: ExpectedClaims, nowMs: number): void {
    const logged = this.#logged.get(pool)
    const isRecent = logged !== undefined && nowMs - logged.atMs < logIntervalMs
    if (isRecent || logged?.taskCount === taskCount) return
    this.#logged.set(pool, { taskCount, atMs: nowMs })
    this.#opts.logger.info({
      event: 'headroom.wanted',
      pool,
      taskCount,
      acceleratorsPerTask: taskNeeds.accelerators,
      windowMs: Math.round(this.#opts.windowMs),
    })
  }

  #sumAccelerators(): number {
    const kept = [...(this.#opts.headroom?.list().values() ?? [])]
    return kept.reduce((sum, { taskNeeds, taskCount }) => {
      return sum + taskCount * taskNeeds.accelerators
    }, 0)
  }
}
