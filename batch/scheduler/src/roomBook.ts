/** The rooms of one round as they fill up: each decision takes from what the next one finds. */
import type { Resources, StepSpec } from '@nettlespur/batch.model'
import { addResources, countFitting, noResources } from './resources.js'
import type { UpstreamRoom } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'

/** What is left of an upstream's room from a time on, at which others are to start there. */
interface LaterRoom {
  readonly fromMs: number
  left: Resources
}

/** One upstream's room within a round. */
export class BookedRoom {
  readonly room: UpstreamRoom
  free: Resources
  soon: Resources
  readonly later: LaterRoom[] = []
  /** Something starts there in this round. */
  #isTaken = false

  constructor(room: UpstreamRoom) {
    this.room = room
    this.free = room.free
    this.soon = room.soon
  }

  get upstreamId(): string {
    return this.room.upstreamId
  }

  /** What starts there would be the only one to blame for a crash. */
  get isQuiet(): boolean {
    return !this.#isTaken && this.room.isQuiet
  }

  /** Nothing more is to start there for now. */
  close(): void {
    this.free = noResources
    this.soon = noResources
  }

  /** Takes the room of one task that ends at `endMs`. */
  take(needs: Resources, endMs: number): void {
    this.#isTaken = true
    this.free = addResources(this.free, needs, -1)
    this.soon = addResources(this.soon, needs, -1)
    for (const later of this.later) {
      if (later.fromMs < endMs) later.left = addResources(later.left, needs, -1)
    }
  }

  /** Tasks that end at `endMs` and fit both now and beside what is to start before that. */
  countFitting(needs: Resources, endMs: number): number {
    let count = countFitting(this.free, needs)
    for (const { fromMs, left } of this.later) {
      if (fromMs < endMs) count = Math.min(count, countFitting(left, needs))
    }
    return count
  }
}

export class RoomBook {
  readonly nowMs: number
  readonly rooms: readonly BookedRoom[]
  readonly #byId: ReadonlyMap<string, BookedRoom>

  constructor(rooms: readonly UpstreamRoom[], nowMs: number) {
    this.nowMs = nowMs
    this.rooms = rooms.map((room) => new BookedRoom(room))
    this.#byId = new Map(this.rooms.map((room) => [room.upstreamId, room]))
  }

  find(upstreamId: string): BookedRoom | undefined {
    return this.#byId.get(upstreamId)
  }

  /** When a task of the step ends that starts now. */
  endOf({ expectedRunTimeMs }: StepSpec): number {
    return this.nowMs + expectedRunTimeMs
  }

  /** Takes one task's room on each upstream named, however often it is named. */
  take(upstreamIds: readonly string[], step: StepSpec): void {
    for (const upstreamId of upstreamIds) {
      this.#byId.get(upstreamId)?.take(step.needs, this.endOf(step))
    }
  }

  /** Nothing more is to start on the upstreams named. */
  close(upstreamIds: readonly string[]): void {
    for (const upstreamId of upstreamIds) this.#byId.get(upstreamId)?.close()
  }

  /** The room of a run that is about to be stopped. */
  giveBackSoon(upstreamId: string, needs: Resources): void {
    const room = this.#byId.get(upstreamId)
    if (room !== undefined) room.soon = addResources(room.soon, needs)
  }

  /** Whether this many tasks could start now by their accelerators alone: a cheap look before the exact one. */
  mayTake({ needs }: StepSpec, taskCount: number): boolean {
    if (needs.accelerators === 0) return true
    let missing = taskCount
    for (const { free } of this.rooms) {
      if (free.accelerators < needs.accelerators) continue
      missing -= Math.floor(free.accelerators / needs.accelerators)
      if (missing <= 0) return true
    }
    return false
  }

  /** How many of the unit's tasks the upstream can take now. */
  countTasks(unit: StartUnit, room: BookedRoom): number {
    const fitting = room.countFitting(unit.step.needs, this.endOf(unit.step))
    return limitTasks(unit, room.upstreamId, fitting)
  }

  /**
   * Rooms in which the unit's tasks may run, those where they failed only if the others could never do. For a start on trial
   * only quiet ones.
   */
  listAllowed(unit: StartUnit): BookedRoom[] {
    const { job, step, avoided, isOnTrial } = unit
    const allowed = this.rooms.filter(
      ({ room }) =>
        room.pool === job.queue.pool &&
        (step.requiredLabel === undefined || room.labels.includes(step.requiredLabel)),
    )
    const untried = preferWhere(unit, allowed, ({ upstreamId }) => !avoided.has(upstreamId))
    return isOnTrial ? untried.filter(({ isQuiet }) => isQuiet) : untried
  }
}

/** The rooms for which the condition holds, where they could take the unit when empty; else all. */
function preferWhere(
  { step, waiting }: StartUnit,
  rooms: BookedRoom[],
  isPreferred: (room: BookedRoom) => boolean,
): BookedRoom[] {
  const preferred = rooms.filter(isPreferred)
  if (preferred.length === rooms.length) return rooms
  const wanted = step.isGang ? waiting.length : 1
  const couldTake = preferred.reduce((sum, room) => sum + countWhenEmpty(step, room), 0)
  return couldTake >= wanted ? preferred : rooms
}

/** How many tasks of the step the upstream takes when nothing else runs there. */
export function countWhenEmpty(step: StepSpec, { room }: BookedRoom): number {
  return Math.min(countFitting(room.capacity, step.needs), step.tasksPerUpstreamMax ?? Infinity)
}

/** How many of the unit's tasks fit where this much is left. */
export function countTasksIn(unit: StartUnit, upstreamId: string, left: Resources): number {
  return limitTasks(unit, upstreamId, countFitting(left, unit.step.needs))
}

/** As many as wait, and no more on one upstream than the step allows. */
function limitTasks({ step, record, waiting }: StartUnit, upstreamId: string, fitting: number) {
  const count = Math.min(fitting, waiting.length)
  if (step.tasksPerUpstreamMax === undefined || count === 0) return count
  const there = record.tasks.filter((task) => task.upstreamId === upstreamId).length
  return Math.min(count, Math.max(0, step.tasksPerUpstreamMax - there))
}
