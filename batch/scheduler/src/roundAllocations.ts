/** The rooms of one round as they fill up: each decision takes from what the next one finds. */
import type { Resources, StepSpec } from '@nettlespur/batch.model'
import { addResources, countFitting, noResources } from './resources.js'
import type { SchedulableUpstream } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'

/** What is left of an upstream's room from a time on, at which others are to start there. */
interface Reservation {
  readonly fromMs: number
  free: Resources
}

/** One upstream's room within a round. */
export class UpstreamAllocation {
  readonly view: SchedulableUpstream
  free: Resources
  freeAfterStops: Resources
  readonly reservations: Reservation[] = []
  /** Something starts there in this round. */
  #hasNewRun = false

  constructor(view: SchedulableUpstream) {
    this.view = view
    this.free = view.free
    this.freeAfterStops = view.freeAfterStops
  }

  get upstreamId(): string {
    return this.view.upstreamId
  }

  /** What starts there would be the only one to blame for a crash. */
  get isSuitableForTrial(): boolean {
    return !this.#hasNewRun && this.view.isSuitableForTrial
  }

  /** Nothing more is to start there for now. */
  blockStarts(): void {
    this.free = noResources
    this.freeAfterStops = noResources
  }

  /** Takes the room of one task that ends at `endMs`. */
  allocate(needs: Resources, endMs: number): void {
    this.#hasNewRun = true
    this.free = addResources(this.free, needs, -1)
    this.freeAfterStops = addResources(this.freeAfterStops, needs, -1)
    for (const reservation of this.reservations) {
      if (reservation.fromMs < endMs) reservation.free = addResources(reservation.free, needs, -1)
    }
  }

  /** Tasks that end at `endMs` and fit both now and beside what is to start before that. */
  countFitting(needs: Resources, endMs: number): number {
    let count = countFitting(this.free, needs)
    for (const { fromMs, free } of this.reservations) {
      if (fromMs < endMs) count = Math.min(count, countFitting(free, needs))
    }
    return count
  }
}

export class RoundAllocations {
  readonly nowMs: number
  readonly upstreams: readonly UpstreamAllocation[]
  readonly #byId: ReadonlyMap<string, UpstreamAllocation>

  constructor(upstreams: readonly SchedulableUpstream[], nowMs: number) {
    this.nowMs = nowMs
    this.upstreams = upstreams.map((upstream) => new UpstreamAllocation(upstream))
    this.#byId = new Map(this.upstreams.map((upstream) => [upstream.upstreamId, upstream]))
  }

  find(upstreamId: string): UpstreamAllocation | undefined {
    return this.#byId.get(upstreamId)
  }

  /** When a task of the step ends that starts now. */
  estimateEndMs({ expectedRunTimeMs }: StepSpec): number {
    return this.nowMs + expectedRunTimeMs
  }

  /** Takes one task's room on each upstream named, however often it is named. */
  allocate(upstreamIds: readonly string[], step: StepSpec): void {
    for (const upstreamId of upstreamIds) {
      this.#byId.get(upstreamId)?.allocate(step.needs, this.estimateEndMs(step))
    }
  }

  /** Nothing more is to start on the upstreams named. */
  blockStarts(upstreamIds: readonly string[]): void {
    for (const upstreamId of upstreamIds) this.#byId.get(upstreamId)?.blockStarts()
  }

  /** The room of a run that is about to be stopped. */
  releaseAfterStop(upstreamId: string, needs: Resources): void {
    const upstream = this.#byId.get(upstreamId)
    if (upstream !== undefined)
      upstream.freeAfterStops = addResources(upstream.freeAfterStops, needs)
  }

  /** Whether this many tasks could start now by their accelerators alone: a cheap look before the exact one. */
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

  /** How many of the unit's tasks the upstream can take now. */
  countTasks(unit: StartUnit, upstream: UpstreamAllocation): number {
    const fitting = upstream.countFitting(unit.step.needs, this.estimateEndMs(unit.step))
    return limitTasks(unit, upstream.upstreamId, fitting)
  }

  /**
   * Rooms in which the unit's tasks may run, those where they failed only if the others could never do. For a start on trial
   * only quiet ones.
   */
  listEligible(unit: StartUnit): UpstreamAllocation[] {
    const { job, step, avoided, isOnTrial } = unit
    const eligible = this.upstreams.filter(
      ({ view }) =>
        view.pool === job.queue.pool &&
        (step.requiredLabel === undefined || view.labels.includes(step.requiredLabel)),
    )
    const untried = preferIfSufficient(unit, eligible, ({ upstreamId }) => !avoided.has(upstreamId))
    return isOnTrial ? untried.filter(({ isSuitableForTrial }) => isSuitableForTrial) : untried
  }
}

/** The rooms for which the condition holds, where they could take the unit when empty; else all. */
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

/** How many tasks of the step the upstream takes when nothing else runs there. */
export function countWhenEmpty(step: StepSpec, { view }: UpstreamAllocation): number {
  return Math.min(countFitting(view.capacity, step.needs), step.tasksPerUpstreamMax ?? Infinity)
}

/** How many of the unit's tasks fit where this much is left. */
export function countTasksIn(unit: StartUnit, upstreamId: string, free: Resources): number {
  return limitTasks(unit, upstreamId, countFitting(free, unit.step.needs))
}

/** As many as wait, and no more on one upstream than the step allows. */
function limitTasks({ step, record, waiting }: StartUnit, upstreamId: string, fitting: number) {
  const count = Math.min(fitting, waiting.length)
  if (step.tasksPerUpstreamMax === undefined || count === 0) return count
  const placedThere = record.tasks.filter((task) => task.upstreamId === upstreamId).length
  return Math.min(count, Math.max(0, step.tasksPerUpstreamMax - placedThere))
}
