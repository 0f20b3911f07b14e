/**
 * Chooses upstreams for the tasks of a unit: the tightest fit, so that whole upstreams and racks stay free
 * for large gangs, and one rack for what is slow across racks.
 */
import { fillEmptiest, fillTightest, type CountedRoom } from './fillTightest.js'
import { listScopes } from './listScopes.js'
import type { BookedRoom, RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

/**
 * An upstream for each task, in the order of the waiting tasks: all of them for a gang, else as many as
 * fit. Empty where nothing can start.
 */
export function choosePlaces(unit: StartUnit, book: RoomBook): string[] {
  const wanted = unit.waiting.length
  const fill = unit.isOnTrial ? fillEmptiest : fillTightest
  if (!book.mayTake(unit.step, unit.step.isGang ? wanted : 1)) return []
  const scopes = listScopes(unit, book).map((rooms) => countScope(unit, book, rooms))
  if (!unit.step.isGang) return scopes.flatMap(({ rooms }) => fill(rooms, wanted))
  const fitting = scopes.filter(({ total }) => total >= wanted)
  const [tightest] = fitting.sort((left, right) => left.total - right.total)
  return tightest === undefined ? [] : fill(tightest.rooms, wanted)
}

interface CountedScope {
  readonly rooms: readonly CountedRoom[]
  readonly total: number
}

function countScope(unit: StartUnit, book: RoomBook, rooms: readonly BookedRoom[]): CountedScope {
  const counted = rooms.map((room) => ({
    upstreamId: room.upstreamId,
    left: room.free,
    count: book.countTasks(unit, room),
  }))
  return { rooms: counted, total: counted.reduce((sum, { count }) => sum + count, 0) }
}
