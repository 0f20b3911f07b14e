/** Logs the reason of units that starve for long: at first, and when it changes. */
import {
  StarvationTimes,
  unitKey,
  type StarvationReason,
  type StarvingUnit,
} from '@nettlespur/batch.scheduler'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/** Shorter waits are usual: between two starts of a job, and while preempted runs stop. */
const loggedAfterMs = 1000
/** Finding out a reason takes several searches for a placement, so a round does it for a few units only. */
const explainedPerRoundMax = 3
const wholePercent = 100

export interface StarvationContext {
  readonly nowMs: number
  /** Upstreams that may get new work, and those that the state holds. */
  readonly usableUpstreams: number
  readonly knownUpstreams: number
}

export class StarvationWatch {
  readonly times = new StarvationTimes()
  readonly #logger: Logger
  readonly #metrics: MetricsRegistry
  /** The reason logged last, by unit. */
  readonly #logged = new Map<string, StarvationReason>()

  constructor({ logger, metrics }: { logger: Logger; metrics: MetricsRegistry }) {
    this.#logger = logger
    this.#metrics = metrics
  }

  /** Call it after each round, with all units that starve then. */
  noteRound(starving: readonly StarvingUnit[], context: StarvationContext): void {
    const ended = this.times.noteRound(starving, context.nowMs)
    for (const starvedMs of ended) this.#metrics.recordMs('unit_starved_ms', starvedMs)
    const keys = new Set(starving.map(unitKey))
    for (const key of this.#logged.keys()) if (!keys.has(key)) this.#logged.delete(key)
    const isLong = (unit: StarvingUnit): boolean =>
      this.times.starvedMs(unit, context.nowMs) >= loggedAfterMs
    const longest = starving.filter(isLong).slice(0, explainedPerRoundMax)
    for (const unit of longest) this.#logIfChanged(unit, context)
  }

  #logIfChanged(unit: StarvingUnit, { nowMs, ...upstreams }: StarvationContext): void {
    const reason = unit.explain()
    if (this.#logged.get(unitKey(unit)) === reason) return
    this.#logged.set(unitKey(unit), reason)
    const { jobId, step, freeShare } = unit
    this.#logger.info({
      event: 'job.starving',
      jobId,
      step,
      reason,
      starvedMs: Math.round(this.times.starvedMs(unit, nowMs)),
      freePercent: Math.round(freeShare * wholePercent),
      ...upstreams,
    })
  }
}
