/**
 * Size of the usable block that encloses a candidate and would be split by it. Best fit takes candidates in
 * small enclosing blocks first, so that large blocks stay whole.
 */
import type { BlockChooser } from './blockChooser.js'
import { isAligned, isUsableRun } from './fitBlock.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

export function measureEnclosingBlock(
  upstream: UpstreamCapacity,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  return isAligned(count)
    ? measureEnclosingAligned(upstream, from, count, chooser)
    : measureEnclosingRun(upstream, from, count, chooser)
}

function measureEnclosingAligned(
  upstream: UpstreamCapacity,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  const wider = count * 2
  const widerFrom = from - (from % wider)
  if (!isUsableRun(upstream, widerFrom, wider, chooser)) return count
  return measureEnclosingAligned(upstream, widerFrom, wider, chooser)
}

function measureEnclosingRun(
  upstream: UpstreamCapacity,
  from: number,
  count: number,
  chooser: BlockChooser,
): number {
  let first = from
  let end = from + count
  while (isUsableRun(upstream, first - 1, 1, chooser)) first -= 1
  while (isUsableRun(upstream, end, 1, chooser)) end += 1
  return end - first
}
