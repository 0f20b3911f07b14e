/**
 * Finds the lowest-cost block within one upstream. Blocks of 1, 2, 4 and 8 accelerators start at a multiple
 * of their size; other sizes use any contiguous run.
 */
import type { BlockChooser } from './blockChooser.js'
import type { Demand } from './demand.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

const alignedSizes: ReadonlySet<number> = new Set([1, 2, 4, 8])

export interface CostedBlock {
  readonly upstream: UpstreamCapacity
  readonly from: number
  readonly count: number
  readonly cost: number
}

/**
 * Finds the lowest-cost block of `count` accelerators on any of these upstreams; the first one among blocks
 * of equal cost. Returns undefined if no upstream has such a block.
 */
export function fitBlock(
  upstreams: readonly UpstreamCapacity[],
  demand: Demand,
  count: number,
  chooser: BlockChooser,
): CostedBlock | undefined {
  let best: CostedBlock | undefined
  for (const upstream of upstreams) {
    if (chooser.countUsableMax(upstream) < count) continue
    const step = isAligned(count) ? count : 1
    let hasCpuAndMemory: boolean | undefined
    for (let from = 0; from + count <= upstream.size; from += step) {
      if (!isUsableRun(upstream, from, count, chooser)) continue
      hasCpuAndMemory ??= chooser.countByCpuAndMemory(upstream, demand) >= count
      if (!hasCpuAndMemory) break
      const cost = chooser.computeCost(upstream, from, count)
      if (cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = { upstream, from, count, cost }
    }
  }
  return best
}

export function isAligned(count: number): boolean {
  return alignedSizes.has(count)
}

/** Whether the `count` accelerators from index `from` all exist and are usable. */
export function isUsableRun(
  upstream: UpstreamCapacity,
  from: number,
  count: number,
  chooser: BlockChooser,
): boolean {
  if (from < 0 || from + count > upstream.size) return false
  for (let index = from; index < from + count; index += 1) {
    if (!chooser.isUsable(upstream, index)) return false
  }
  return true
}
