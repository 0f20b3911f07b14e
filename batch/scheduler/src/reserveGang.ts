/**
 * Keeps room for a gang that does not fit yet, so that smaller work does not take each piece that comes
 * free. The earliest time is sought at which it fits as runs are expected to end; what ends before that time
 * may still start there.
 */
import { choosePlaces } from './choosePlaces.js'
import { RoomBook, type BookedRoom } from './roomBook.js'
import type { ActiveRun } from './schedulerView.js'
import type { StartUnit } from './startUnit.js'
import { addResources } from './resources.js'

export interface ReserveGangOptions {
  unit: StartUnit
  book: RoomBook
  /** Sorted by their expected ends. */
  runs: readonly ActiveRun[]
}

/** Books the room; nothing where the gang would not fit even without all that runs. */
export function reserveGang({ unit, book, runs }: ReserveGangOptions): void {
  const fits = (ended: number): string[] =>
    choosePlaces(unit, releaseRuns(book, runs, ended), 'soon')
  if (fits(runs.length).length === 0) return
  let low = 0
  let high = runs.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (fits(middle).length > 0) high = middle
    else low = middle + 1
  }
  const places = fits(low)
  const fromMs = runs[low - 1]?.expectedEndMs ?? book.nowMs
  const released = releaseRuns(book, runs, low)
  for (const upstreamId of new Set(places)) {
    const room = book.find(upstreamId)
    const then = released.find(upstreamId)
    if (room === undefined || then === undefined) continue
    const count = places.filter((place) => place === upstreamId).length
    room.later.push({ fromMs, left: addResources(then.soon, unit.step.needs, -count) })
  }
}

/** The rooms as they will be once the first `ended` runs are over. */
function releaseRuns(book: RoomBook, runs: readonly ActiveRun[], ended: number): RoomBook {
  const released = new RoomBook(book.rooms.map(snapshotRoom), book.nowMs)
  for (const { placement, needs, isStopping } of runs.slice(0, ended)) {
    if (!isStopping) released.giveBackSoon(placement.upstreamId, needs)
  }
  return released
}

/** Room that is kept for others from some time on counts as taken. */
function snapshotRoom({ room, free, soon, later }: BookedRoom) {
  const kept = later.reduce(
    (least, { left }) => ({
      cpuMillicores: Math.min(least.cpuMillicores, left.cpuMillicores),
      memoryMiB: Math.min(least.memoryMiB, left.memoryMiB),
      accelerators: Math.min(least.accelerators, left.accelerators),
    }),
    soon,
  )
  return { ...room, free, soon: kept }
}
