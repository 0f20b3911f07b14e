/** Size of the usable surroundings that a block would break up: small ones are best taken first. */
import type { BlockChooser } from './blockChooser.js'
import { isAligned, isUsableRun } from './fitBlock.js'
import type { UpstreamRoom } from './upstreamRoom.js'

export function measureSurroundings(
  room: UpstreamRoom,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  return isAligned(count)
    ? measureAligned(room, from, count, chooser)
    : measureRun(room, from, count, chooser)
}

function measureAligned(
  room: UpstreamRoom,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  const wider = count * 2
  const widerFrom = from - (from % wider)
  if (!isUsableRun(room, widerFrom, wider, chooser)) return count
  return measureAligned(room, widerFrom, wider, chooser)
}

function measureRun(
  room: UpstreamRoom,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  let first = from
  let end = from + count
  while (isUsableRun(room, first - 1, 1, chooser)) first -= 1
  while (isUsableRun(room, end, 1, chooser)) end += 1
  return end - first
}
