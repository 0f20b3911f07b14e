/**
 * Chooses upstreams for the tasks of a unit: the tightest fit, so that whole upstreams and racks stay free
 * for large gangs, and one rack for what is slow across racks.
 */
import { type BookedRoom, countTasks, countWhenEmpty, type RoomBook } from './roomBook.js'
import type { StartUnit } from './startUnit.js'

interface Counted {
  readonly room: BookedRoom
  readonly count: number
}

/**
 * An upstream for each task, in the order of the waiting tasks: all of them for a gang, else as many as
 * fit. Empty where nothing can start.
 */
export function choosePlaces(
  unit: StartUnit,
  book: RoomBook,
  from: 'free' | 'soon' = 'free',
): string[] {
  const { step, waiting } = unit
  const allowed = keepDataRack(unit, book.listAllowed(unit))
  const counted = allowed
    .map((room) => ({ room, count: countTasks({ unit, book, room, from }) }))
    .filter(({ count }) => count > 0)
  if (!step.isGang) return fill(counted, waiting.length, from)
  if (step.prefersOneRack) return chooseRack(unit, allowed, counted, from)
  return sum(counted) >= waiting.length ? fill(counted, waiting.length, from) : []
}

/** Elsewhere the tasks would take several times as long: that is left for when the rack is gone. */
function keepDataRack({ step }: StartUnit, allowed: BookedRoom[]): BookedRoom[] {
  if (step.dataRack === undefined) return allowed
  const near = allowed.filter(({ room }) => room.rack === step.dataRack)
  return near.length > 0 ? near : allowed
}

/** The rack with the least room that takes all; several racks only where no single one could, even empty. */
function chooseRack(
  unit: StartUnit,
  allowed: readonly BookedRoom[],
  counted: readonly Counted[],
  from: 'free' | 'soon',
): string[] {
  const wanted = unit.waiting.length
  const fitting = groupByRack(counted).filter((rack) => sum(rack) >= wanted)
  const [tightest] = fitting.sort((left, right) => sum(left) - sum(right))
  if (tightest !== undefined) return fill(tightest, wanted, from)
  if (sum(counted) < wanted || couldFitOneRack(unit, allowed)) return []
  return fill(counted, wanted, from)
}

function couldFitOneRack(unit: StartUnit, allowed: readonly BookedRoom[]): boolean {
  const counted = allowed.map((room) => ({ room, count: countWhenEmpty(unit.step, room) }))
  return groupByRack(counted).some((rack) => sum(rack) >= unit.waiting.length)
}

/** First where the fewest accelerators are left over, then where the fewest processors are. */
function fill(counted: readonly Counted[], wanted: number, from: 'free' | 'soon'): string[] {
  const tightFirst = [...counted].sort(
    (left, right) =>
      left.room[from].accelerators - right.room[from].accelerators ||
      left.room[from].cpuMillicores - right.room[from].cpuMillicores,
  )
  const places: string[] = []
  for (const { room, count } of tightFirst) {
    const taken = Math.min(count, wanted - places.length)
    for (let task = 0; task < taken; task++) places.push(room.upstreamId)
  }
  return places
}

function groupByRack(counted: readonly Counted[]): Counted[][] {
  const racks = new Map<string, Counted[]>()
  for (const entry of counted) {
    const { rack } = entry.room.room
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [entry])
    else group.push(entry)
  }
  return [...racks.values()]
}

function sum(counted: readonly Counted[]): number {
  return counted.reduce((total, { count }) => total + count, 0)
}
