/** The groups of upstreams of which one has to take a unit alone. */
import { countWhenEmpty, type BookedRoom, type RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

/**
 * For a gang that is slow across racks each rack that could take it when empty; all racks together only where
 * none could. For others one group of all upstreams that they may use.
 */
export function listScopes(unit: StartUnit, book: RoomBook): BookedRoom[][] {
  const allowed = keepDataRack(unit, book.listAllowed(unit))
  if (!unit.step.isGang || !unit.step.prefersOneRack) return [allowed]
  const fitting = [...groupByRack(allowed).values()].filter((rooms) => {
    const whenEmpty = rooms.reduce((sum, room) => sum + countWhenEmpty(unit.step, room), 0)
    return whenEmpty >= unit.waiting.length
  })
  return fitting.length > 0 ? fitting : [allowed]
}

/** Elsewhere the tasks would take several times as long: that is left for when the rack is gone. */
function keepDataRack({ step }: StartUnit, allowed: BookedRoom[]): BookedRoom[] {
  if (step.dataRack === undefined) return allowed
  const near = allowed.filter(({ room }) => room.rack === step.dataRack)
  return near.length > 0 ? near : allowed
}

function groupByRack(rooms: readonly BookedRoom[]): Map<string, BookedRoom[]> {
  const racks = new Map<string, BookedRoom[]>()
  for (const room of rooms) {
    const { rack } = room.room
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [room])
    else group.push(room)
  }
  return racks
}
