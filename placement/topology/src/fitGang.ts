/** Finds accelerators for all members of a gang at once, as near to each other as its adjacency requires. */
import type { Block } from './block.js'
import type { BlockChooser } from './blockChooser.js'
import type { ClusterMap } from './clusterMap.js'
import type { Demand } from './demand.js'
import { fitBlock, isUsableRun, type CostedBlock } from './fitBlock.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

/** Returns one block for each upstream that the gang uses, or undefined if the gang does not fit. */
export function fitGang(
  map: ClusterMap,
  demand: Demand,
  chooser: BlockChooser,
): Block[] | undefined {
  const { accelerators, adjacency } = demand.gang
  const single = fitBlock(map.upstreams, demand, accelerators, chooser)
  if (single !== undefined) return [toBlock(single)]
  switch (adjacency) {
    case 'upstream':
      return undefined
    case 'rack':
      return fitRack(map, demand, chooser)?.map(toBlock)
    case 'none':
      return fitAnywhere(map.upstreams, demand, chooser)
  }
}

/** Finds the rack where whole upstreams, and a block of one more for the remainder, cost the least. */
function fitRack(
  map: ClusterMap,
  demand: Demand,
  chooser: BlockChooser,
): CostedBlock[] | undefined {
  let best: CostedBlock[] | undefined
  let bestCost = Number.POSITIVE_INFINITY
  for (const rack of map.racks) {
    const blocks = fitWithinRack(rack, demand, chooser)
    if (blocks === undefined) continue
    const cost = blocks.reduce((sum, block) => sum + block.cost, chooser.computeRackCost(rack))
    if (cost >= bestCost) continue
    best = blocks
    bestCost = cost
  }
  return best
}

function fitWithinRack(
  rack: readonly UpstreamCapacity[],
  demand: Demand,
  chooser: BlockChooser,
): CostedBlock[] | undefined {
  const blocks: CostedBlock[] = []
  let remaining = demand.gang.accelerators
  for (const whole of listWholeUpstreams(rack, demand, chooser)) {
    if (whole.count > remaining) continue
    blocks.push(whole)
    remaining -= whole.count
  }
  if (remaining === 0) return blocks
  if (blocks.length === 0) return undefined
  const used = new Set(blocks.map((block) => block.upstream))
  const others = rack.filter((upstream) => !used.has(upstream))
  const rest = fitBlock(others, demand, remaining, chooser)
  return rest === undefined ? undefined : [...blocks, rest]
}

/** Lists the upstreams whose accelerators are all usable, sorted by size (largest first), then by cost. */
function listWholeUpstreams(
  rack: readonly UpstreamCapacity[],
  demand: Demand,
  chooser: BlockChooser,
): CostedBlock[] {
  const wholes: CostedBlock[] = []
  for (const upstream of rack) {
    const count = upstream.size
    if (count === 0 || chooser.countUsableMax(upstream) < count) continue
    if (!isUsableRun(upstream, 0, count, chooser)) continue
    if (chooser.countByCpuAndMemory(upstream, demand) < count) continue
    const cost = chooser.computeCost(upstream, 0, count)
    if (Number.isFinite(cost)) wholes.push({ upstream, from: 0, count, cost })
  }
  return wholes.sort((left, right) => right.count - left.count || left.cost - right.cost)
}

/**
 * Takes the accelerators with the lowest cost from any upstreams. Those of equal cost stay in the order of
 * their upstreams, so that few upstreams are used. Returns undefined if there are not enough.
 */
function fitAnywhere(
  upstreams: readonly UpstreamCapacity[],
  demand: Demand,
  chooser: BlockChooser,
): Block[] | undefined {
  const singles = upstreams.flatMap((upstream) => listSingles(upstream, demand, chooser))
  singles.sort((left, right) => left.cost - right.cost)
  const blocks = new Map<string, number[]>()
  for (const { upstream, from } of singles.slice(0, demand.gang.accelerators)) {
    const indexes = blocks.get(upstream.upstreamId)
    if (indexes === undefined) blocks.set(upstream.upstreamId, [from])
    else indexes.push(from)
  }
  if (singles.length < demand.gang.accelerators) return undefined
  return [...blocks].map(([upstreamId, indexes]) => {
    return { upstreamId, acceleratorIndexes: indexes.sort((left, right) => left - right) }
  })
}

function listSingles(
  upstream: UpstreamCapacity,
  demand: Demand,
  chooser: BlockChooser,
): CostedBlock[] {
  const singles: CostedBlock[] = []
  for (let from = 0; from < upstream.size; from += 1) {
    if (!chooser.isUsable(upstream, from)) continue
    const cost = chooser.computeCost(upstream, from, 1)
    if (Number.isFinite(cost)) singles.push({ upstream, from, count: 1, cost })
  }
  singles.sort((left, right) => left.cost - right.cost)
  return singles.slice(0, Math.max(0, chooser.countByCpuAndMemory(upstream, demand)))
}

function toBlock({ upstream, from, count }: CostedBlock): Block {
  const acceleratorIndexes = Array.from({ length: count }, (_, offset) => from + offset)
  return { upstreamId: upstream.upstreamId, acceleratorIndexes }
}
