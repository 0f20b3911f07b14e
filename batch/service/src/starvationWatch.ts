/** Logs the reason of units that starve for long: at first, and when it changes. */
import { unitKey } from '@nettlespur/batch.model'
import {
  StarvationTimes,
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

/** The upstreams, for a log line. */
export interface FleetDescription {
  /** Upstreams that may get new work. */
  readonly usableUpstreams: number
  /** Upstreams that the state holds. */
  readonly knownUpstreams: number
  /** Data centres in which nothing may start. */
  readonly evacuated: readonly string[]
}

export interface StarvationWatchOptions {
  logger: Logger
  metrics: MetricsRegistry
  /** Called only when a line is logged, as it goes over all upstreams. */
  describeFleet: () => FleetDescription
}

export class StarvationWatch {
  readonly times = new StarvationTimes()
  readonly #opts: StarvationWatchOptions
  /** The reason logged last, by unit. */
  readonly #logged = new Map<string, StarvationReason>()

  constructor(opts: StarvationWatchOptions) {
    this.#opts = opts
  }

  /** Call it after each round, with all units that starve then. */
  noteRound(starving: readonly StarvingUnit[], nowMs: number): void {
    const ended = this.times.noteRound(starving, nowMs)
    for (const starvedMs of ended) this.#opts.metrics.recordMs('unit_starved_ms', starvedMs)
    const keys = new Set(starving.map(unitKey))
    for (const key of this.#logged.keys()) if (!keys.has(key)) this.#logged.delete(key)
    const isLong = (unit: StarvingUnit): boolean =>
      this.times.starvedMs(unit, nowMs) >= loggedAfterMs
    const candidates = this.#putUnloggedFirst(starving.filter(isLong))
    for (const unit of candidates.slice(0, explainedPerRoundMax)) this.#logIfChanged(unit, nowMs)
  }

  /** Otherwise a few units that starve for long would keep the others out of the log. */
  #putUnloggedFirst(units: readonly StarvingUnit[]): StarvingUnit[] {
    const isLogged = (unit: StarvingUnit): number => Number(this.#logged.has(unitKey(unit)))
    return [...units].sort((left, right) => isLogged(left) - isLogged(right))
  }

  #logIfChanged(unit: StarvingUnit, nowMs: number): void {
    const reason = unit.explain()
    if (this.#logged.get(unitKey(unit)) === reason) return
    this.#logged.set(unitKey(unit), reason)
    const { jobId, step, freeShare } = unit
    this.#opts.logger.info({
      event: 'job.starving',
      jobId,
      step,
      reason,
      starvedMs: Math.round(this.times.starvedMs(unit, nowMs)),
      freePercent: Math.round(freeShare * wholePercent),
      ...this.#opts.describeFleet(),
    })
  }
}
