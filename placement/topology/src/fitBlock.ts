/**
 * The best block within one upstream. Blocks of 1, 2, 4 and 8 lie at multiples of their size; other sizes
 * take any run.
 */
import type { BlockChooser } from './blockChooser.js'
import type { Demand } from './demand.js'
import type { UpstreamRoom } from './upstreamRoom.js'

const alignedSizes: ReadonlySet<number> = new Set([1, 2, 4, 8])

export interface RatedBlock {
  readonly room: UpstreamRoom
  readonly from: number
  readonly count: number
  readonly rate: number
}

/** The best block of `count` accelerators on any of these upstreams; the first of equals. */
export function fitBlock(
  rooms: readonly UpstreamRoom[],
  demand: Demand,
  count: number,
  chooser: BlockChooser,
): RatedBlock | undefined {
  let best: RatedBlock | undefined
  for (const room of rooms) {
    if (chooser.countUsableMax(room) < count) continue
    const step = isAligned(count) ? count : 1
    let isAffordable: boolean | undefined
    for (let from = 0; from + count <= room.size; from += step) {
      if (!isUsableRun(room, from, count, chooser)) continue
      isAffordable ??= chooser.countAffordable(room, demand) >= count
      if (!isAffordable) break
      const rate = chooser.rate(room, from, count)
      if (rate < (best?.rate ?? Number.POSITIVE_INFINITY)) best = { room, from, count, rate }
    }
  }
  return best
}

export function isAligned(count: number): boolean {
  return alignedSizes.has(count)
}

/** Whether all of these accelerators exist and are usable. */
export function isUsableRun(
  room: UpstreamRoom,
  from: number,
  count: number,
  chooser: BlockChooser,
): boolean {
  if (from < 0 || from + count > room.size) return false
  for (let index = from; index < from + count; index += 1) {
    if (!chooser.isUsable(room, index)) return false
  }
  return true
}
