/**
 * Applies the preferences for fast and stable upstreams to the units of a round. An urgent unit for which only upstreams
 * that are too slow have room is held back for a short time, as long as it would be on time on others.
 */
import type { UnitRef } from '@nettlespur/batch.model'
import { minOf } from '@nettlespur/core.lists'
import { isExploring, isUrgent, listFastGroups, listGroups } from './listGroups.js'
import { computeNeededSpeed } from './neededSpeed.js'
import type { RankedUnit } from './orderUnits.js'
import { isTooSlow, PoolSpeeds } from './poolSpeeds.js'
import type { RoundAllocations } from './roundAllocations.js'
import type { SchedulerView } from './schedulerView.js'
import type { SpeedChoice, SpeedDecisions } from './speedDecisions.js'
import type { StartUnit } from './startUnit.js'

/**
 * For how long after its acceptance an urgent job is held back for the sake of speed. The bound on the start of guaranteed
 * work counts from its acceptance too; after the hold there is still time to stop the runs that borrow its capacity.
 */
const holdMaxMs = 1000

export class SpeedPlacement {
  readonly #view: SchedulerView
  readonly #allocations: RoundAllocations
  readonly #pools = new Map<string, PoolSpeeds>()
  readonly #choices: SpeedChoice[] = []
  readonly #held: UnitRef[] = []

  constructor(view: SchedulerView, allocations: RoundAllocations) {
    this.#view = view
    this.#allocations = allocations
  }

  /** Returns the unit with its preferred groups of upstreams. */
  addGroups(unit: RankedUnit): RankedUnit {
    const pool = this.#getPool(unit)
    if (!pool.isGraded && !pool.hasUnstable) return unit
    const groups = listGroups({ unit, pool, needed: computeNeededSpeed(unit, pool.fastestSpeed) })
    return groups === undefined ? unit : { ...unit, groups, isSpread: isExploring(unit, pool) }
  }

  /**
   * Returns the unit restricted to upstreams that are not too slow for it. Returns undefined if the unit takes any
   * upstreams, or if none is too slow for it.
   */
  restrictToFast(unit: RankedUnit): RankedUnit | undefined {
    const pool = this.#getPool(unit)
    if (!pool.isGraded || !isUrgent(unit) || unit.isOnTrial) return undefined
    if (unit.waitedMs >= holdMaxMs) return undefined
    const needed = computeNeededSpeed(unit, pool.fastestSpeed)
    if (!needed.isForOnTimeEnd || needed.speed <= pool.slowestSpeed) return undefined
    return {
      ...unit,
      groups: listFastGroups({ unit, pool, needed }),
      isAllowed: (upstream) => !isTooSlow(upstream, needed.speed),
    }
  }

  noteHeld({ job, stepNumber }: StartUnit): void {
    this.#held.push({ jobId: job.request.jobId, step: stepNumber })
  }

  notePlaced(unit: RankedUnit, upstreamIds: readonly string[]): void {
    const pool = this.#getPool(unit)
    if (!pool.isGraded) return
    const needed = computeNeededSpeed(unit, pool.fastestSpeed)
    const chosen = upstreamIds.flatMap((id) => this.#allocations.find(id) ?? [])
    this.#choices.push({
      jobId: unit.job.request.jobId,
      step: unit.stepNumber,
      neededSpeed: needed.speed,
      lowestSpeed: minOf(chosen.map(({ view }) => view.speed.mean)),
      isTooSlow: chosen.some((upstream) => isTooSlow(upstream, needed.speed)),
    })
  }

  /** Returns undefined if no pool of the units calls for placement by speed. */
  finish(): SpeedDecisions | undefined {
    const pools = [...this.#pools].flatMap(([pool, speeds]) => {
      const { isGraded, urgentSpeed, slowCount, count } = speeds
      return isGraded ? [{ pool, urgentSpeed, slowUpstreams: slowCount, upstreams: count }] : []
    })
    if (pools.length === 0) return undefined
    return { pools, choices: this.#choices, held: this.#held }
  }

  #getPool({ job: { queue } }: StartUnit): PoolSpeeds {
    const known = this.#pools.get(queue.pool)
    if (known !== undefined) return known
    const queues = this.#view.queues.filter(({ pool }) => pool === queue.pool)
    const pool = new PoolSpeeds(
      this.#allocations.upstreams.filter(({ view }) => view.pool === queue.pool),
      queues.map(({ stretch }) => stretch),
    )
    this.#pools.set(queue.pool, pool)
    return pool
  }
}
