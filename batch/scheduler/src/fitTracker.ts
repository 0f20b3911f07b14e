/**
 * Follows whether a unit fits as runs end one after the other. Only the room that changes is counted again, so
 * that a whole sequence of ends costs what its runs cost, however many upstreams there are.
 */
import type { Resources } from '@nettlespur/batch.model'
import type { Placement } from '@nettlespur/batch.state'
import { fillTightest } from './fillTightest.js'
import { addResources } from './resources.js'
import { countTasksIn, type BookedRoom, type RoomBook } from './roomBook.js'
import { listScopes } from './listScopes.js'
import type { StartUnit } from './startUnit.js'

interface TrackedRoom {
  readonly upstreamId: string
  left: Resources
  count: number
}

/** Upstreams that can take the unit together: those of one rack, or all that it may use. */
export class FitScope {
  readonly #unit: StartUnit
  readonly #rooms: ReadonlyMap<string, TrackedRoom>
  #total = 0

  constructor(
    unit: StartUnit,
    rooms: readonly BookedRoom[],
    roomOf: (room: BookedRoom) => Resources,
  ) {
    this.#unit = unit
    const tracked = rooms.map((room) => {
      const left = roomOf(room)
      const count = countTasksIn(unit, room.upstreamId, left)
      this.#total += count
      return { upstreamId: room.upstreamId, left, count }
    })
    this.#rooms = new Map(tracked.map((room) => [room.upstreamId, room]))
  }

  get fits(): boolean {
    return this.missing === 0
  }

  /** Tasks of the unit that find no place. */
  get missing(): number {
    return Math.max(0, this.#unit.waiting.length - this.#total)
  }

  /** Tasks of the unit that fit on one upstream. */
  countOn(upstreamId: string): number {
    return this.#rooms.get(upstreamId)?.count ?? 0
  }

  has(upstreamId: string): boolean {
    return this.#rooms.has(upstreamId)
  }

  /** Gives the room of runs back, or with `times` -1 takes it again. */
  change(runs: readonly Placement[], needs: Resources, times: 1 | -1): void {
    for (const { upstreamId } of runs) {
      const room = this.#rooms.get(upstreamId)
      if (room === undefined) continue
      room.left = addResources(room.left, needs, times)
      this.#total -= room.count
      room.count = countTasksIn(this.#unit, upstreamId, room.left)
      this.#total += room.count
    }
  }

  /** What is left of an upstream's room; undefined outside the scope. */
  leftOf(upstreamId: string): Resources | undefined {
    return this.#rooms.get(upstreamId)?.left
  }

  /** An upstream for each task of the unit. To be called where it fits. */
  choosePlaces(): string[] {
    return fillTightest([...this.#rooms.values()], this.#unit.waiting.length)
  }
}

/** The scopes of a unit, with the room that `roomOf` says. */
export function trackScopes(
  unit: StartUnit,
  book: RoomBook,
  roomOf: (room: BookedRoom) => Resources,
): FitScope[] {
  return listScopes(unit, book).map((rooms) => new FitScope(unit, rooms, roomOf))
}
