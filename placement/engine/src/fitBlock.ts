/**
 * Best fit within one upstream. Blocks of 1, 2, 4 and 8 lie at multiples of their size; other sizes take
 * any run. Of all fits the one in the smallest free surroundings wins, so that large blocks stay whole.
 */
import type { Block, Demand } from './placementView.js'
import type { FreeUpstream } from './topology.js'

const alignedSizes: ReadonlySet<number> = new Set([1, 2, 4, 8])

interface Fit {
  readonly upstream: FreeUpstream
  readonly from: number
  /** Size of the free surroundings the block breaks up. */
  readonly surroundings: number
}

/** The best block of `count` accelerators on any of these upstreams. */
export function fitBlock(
  upstreams: readonly FreeUpstream[],
  demand: Demand,
  count: number,
): Block | undefined {
  let best: Fit | undefined
  for (const upstream of upstreams) {
    if (upstream.countAffordable(demand) < count) continue
    for (const from of listStarts(upstream.size, count)) {
      if (!upstream.isFree(from, count)) continue
      const fit = { upstream, from, surroundings: measureSurroundings(upstream, from, count) }
      if (best === undefined || isBetter(fit, best)) best = fit
    }
  }
  if (best === undefined) return undefined
  const { from } = best
  const acceleratorIndexes = Array.from({ length: count }, (_, offset) => from + offset)
  return { upstreamId: best.upstream.upstreamId, acceleratorIndexes }
}

function listStarts(size: number, count: number): number[] {
  const step = alignedSizes.has(count) ? count : 1
  const starts: number[] = []
  for (let from = 0; from + count <= size; from += step) starts.push(from)
  return starts
}

function isBetter(fit: Fit, best: Fit): boolean {
  if (fit.surroundings !== best.surroundings) return fit.surroundings < best.surroundings
  return fit.upstream.freeCount < best.upstream.freeCount
}

function measureSurroundings(upstream: FreeUpstream, from: number, count: number): number {
  return alignedSizes.has(count)
    ? measureAligned(upstream, from, count)
    : measureRun(upstream, from, count)
}

function measureAligned(upstream: FreeUpstream, from: number, count: number): number {
  const wider = count * 2
  const widerFrom = from - (from % wider)
  return upstream.isFree(widerFrom, wider) ? measureAligned(upstream, widerFrom, wider) : count
}

function measureRun(upstream: FreeUpstream, from: number, count: number): number {
  let first = from
  let end = from + count
  while (upstream.isFree(first - 1, 1)) first -= 1
  while (upstream.isFree(end, 1)) end += 1
  return end - first
}
