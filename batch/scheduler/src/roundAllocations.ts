/** Tracks the capacity allocated within one round: each decision leaves less for the next ones. */
import type { Resources, StepSpec } from '@nettlespur/batch.model'
import { minOf } from '@nettlespur/core.lists'
import { addResources, countFitting } from './resources.js'
import type { SchedulableUpstream } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'
import { UpstreamAllocation } from './upstreamAllocation.js'

export class RoundAllocations {
  readonly nowMs: number
  readonly upstreams: readonly UpstreamAllocation[]
  /** Whether some upstreams are cold. */
  readonly hasCold: boolean
  readonly #byId: ReadonlyMap<string, UpstreamAllocation>

  constructor(upstreams: readonly SchedulableUpstream[], nowMs: number) {
    this.nowMs = nowMs
    this.upstreams = upstreams.map((upstream) => new UpstreamAllocation(upstream))
    this.hasCold = upstreams.some(({ isCold }) => isCold)
    this.#byId = new Map(this.upstreams.map((upstream) => [upstream.upstreamId, upstream]))
  }

  find(upstreamId: string): UpstreamAllocation | undefined {
    return this.#byId.get(upstreamId)
  }

  /** Returns the expected end of a task of the step that starts now on an upstream of that speed. */
  estimateEndMs({ expectedRunTimeMs }: StepSpec, expectedSpeed = 1): number {
    return this.nowMs + expectedRunTimeMs / expectedSpeed
  }

  /**
   * Returns a function from the id of an upstream to the expected end of a task that starts there now. The slowest
   * member decides how fast a gang is.
   */
  estimateEnds(upstreamIds: readonly string[], step: StepSpec): (upstreamId: string) => number {
    const speedOf = (id: string): number => this.#byId.get(id)?.expectedSpeed ?? 1
    if (!step.isGang) return (upstreamId) => this.estimateEndMs(step, speedOf(upstreamId))
    const endMs = this.estimateEndMs(step, minOf(upstreamIds.map(speedOf)))
    return () => endMs
  }

  /** Allocates capacity for one task per entry that starts now; an upstream may occur several times. */
  place(upstreamIds: readonly string[], step: StepSpec): void {
    const estimateEndMs = this.estimateEnds(upstreamIds, step)
    for (const upstreamId of upstreamIds) {
      this.#byId.get(upstreamId)?.place(step.needs, estimateEndMs(upstreamId))
    }
  }

  /** Like `place`, for tasks that may start only once other runs have stopped. */
  allocate(upstreamIds: readonly string[], step: StepSpec): void {
    const estimateEndMs = this.estimateEnds(upstreamIds, step)
    for (const upstreamId of upstreamIds) {
      this.#byId.get(upstreamId)?.allocate(step.needs, estimateEndMs(upstreamId))
    }
  }

  /** Prevents further starts on these upstreams in this round. */
  blockStarts(upstreamIds: readonly string[]): void {
    for (const upstreamId of upstreamIds) this.#byId.get(upstreamId)?.blockStarts()
  }

  /** Adds the capacity of a run that is about to be stopped to `freeAfterStops`. */
  releaseAfterStop(upstreamId: string, needs: Resources): void {
    const upstream = this.#byId.get(upstreamId)
    if (upstream !== undefined)
      upstream.freeAfterStops = addResources(upstream.freeAfterStops, needs)
  }

  /** Whether the free accelerators alone suffice for this many tasks: a cheap check before the exact one. */
  hasEnoughAccelerators({ needs }: StepSpec, taskCount: number): boolean {
    if (needs.accelerators === 0) return true
    let missing = taskCount
    for (const { free } of this.upstreams) {
      if (free.accelerators < needs.accelerators) continue
      missing -= Math.floor(free.accelerators / needs.accelerators)
      if (missing <= 0) return true
    }
    return false
  }

  /** Returns how many of the unit's tasks the upstream can take now. */
  countTasks(unit: StartUnit, upstream: UpstreamAllocation): number {
    const { step, relaxed } = unit
    const fitting = relaxed.has('reservation')
      ? countFitting(upstream.free, step.needs)
      : upstream.countUnreserved(step.needs, this.estimateEndMs(step, upstream.expectedSpeed))
    return limitTasks(unit, upstream.upstreamId, fitting)
  }

  /**
   * Returns the upstreams on which the unit's tasks may run. Upstreams on which they have failed are included only
   * if the others could not take the unit even when empty. A trial start gets only upstreams that are suitable for it.
   */
  listEligible(unit: StartUnit): UpstreamAllocation[] {
    const { job, step, avoided, isOnTrial, relaxed } = unit
    const eligible = this.upstreams.filter(
      ({ view }) =>
        view.pool === job.queue.pool &&
        (view.availability === 'usable' ||
          (view.availability === 'suspect' && relaxed.has('healthy-upstream'))) &&
        (step.requiredLabel === undefined || view.labels.includes(step.requiredLabel)),
    )
    const untried = relaxed.has('untried-upstream')
      ? eligible
      : preferIfSufficient(unit, eligible, ({ upstreamId }) => !avoided.has(upstreamId))
    return isOnTrial ? untried.filter(({ isSuitableForTrial }) => isSuitableForTrial) : untried
  }
}

/** Returns the preferred upstreams if they could take the unit when empty, otherwise all. */
function preferIfSufficient(
  { step, waiting }: StartUnit,
  upstreams: UpstreamAllocation[],
  isPreferred: (upstream: UpstreamAllocation) => boolean,
): UpstreamAllocation[] {
  const preferred = upstreams.filter(isPreferred)
  if (preferred.length === upstreams.length) return upstreams
  const wanted = step.isGang ? waiting.length : 1
  const taskCapacity = preferred.reduce((sum, upstream) => sum + countWhenEmpty(step, upstream), 0)
  return taskCapacity >= wanted ? preferred : upstreams
}

/** Returns how many tasks of the step the upstream can take when it is empty. */
export function countWhenEmpty(step: StepSpec, { view }: UpstreamAllocation): number {
  return Math.min(countFitting(view.capacity, step.needs), step.tasksPerUpstreamMax ?? Infinity)
}

/** Returns how many of the unit's tasks fit on the upstream if this much of it is free. */
export function countTasksIn(unit: StartUnit, upstreamId: string, free: Resources): number {
  return limitTasks(unit, upstreamId, countFitting(free, unit.step.needs))
}

/** Limits a count to the waiting tasks and to the step's maximum per upstream. */
function limitTasks(
  { step, countPlacedOn, waiting }: StartUnit,
  upstreamId: string,
  fitting: number,
): number {
  const count = Math.min(fitting, waiting.length)
  if (step.tasksPerUpstreamMax === undefined || count === 0) return count
  return Math.min(count, Math.max(0, step.tasksPerUpstreamMax - countPlacedOn(upstreamId)))
}
