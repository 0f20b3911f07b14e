/** Spreads tasks over rooms: first where the fewest accelerators are left, then where the fewest processors are. */
import type { Resources } from '@nettlespur/batch.model'

export interface CountedRoom {
  readonly upstreamId: string
  readonly left: Resources
  /** Tasks that fit. */
  readonly count: number
}

/** As many upstreams as there are tasks, or as many as fit. */
export function fillTightest(rooms: readonly CountedRoom[], wanted: number): string[] {
  return fillInOrder(sortTightest(rooms), wanted)
}

/** The same from the other end: where the least runs, so that a crash harms the least. */
export function fillEmptiest(rooms: readonly CountedRoom[], wanted: number): string[] {
  return fillInOrder(sortTightest(rooms).reverse(), wanted)
}

function sortTightest(rooms: readonly CountedRoom[]): CountedRoom[] {
  return rooms
    .filter(({ count }) => count > 0)
    .sort(
      (left, right) =>
        left.left.accelerators - right.left.accelerators ||
        left.left.cpuMillicores - right.left.cpuMillicores,
    )
}

function fillInOrder(rooms: readonly CountedRoom[], wanted: number): string[] {
  const places: string[] = []
  for (const { upstreamId, count } of rooms) {
    const taken = Math.min(count, wanted - places.length)
    for (let task = 0; task < taken; task++) places.push(upstreamId)
  }
  return places
}
