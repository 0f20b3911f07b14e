/** Finds the accelerators of a whole gang by its adjacency. */
import { fitBlock } from './fitBlock.js'
import type { Block, Demand } from './placementView.js'
import type { FreeUpstream, Topology } from './topology.js'

/** The blocks of the gang, one for each upstream; undefined where it does not fit now. */
export function fitGang(topology: Topology, demand: Demand): Block[] | undefined {
  const { accelerators, adjacency } = demand.gang
  const single = fitBlock(topology.upstreams, demand, accelerators)
  if (single !== undefined) return [single]
  switch (adjacency) {
    case 'upstream':
      return undefined
    case 'rack':
      return fitRack(topology, demand)
    case 'none':
      return gather(topology.upstreams, demand)
  }
}

/** Whole upstreams of one rack, and a block of a further one for the rest. */
function fitRack(topology: Topology, demand: Demand): Block[] | undefined {
  const fits = topology
    .listRacks()
    .map((rack) => ({ free: countFree(rack), blocks: fitWithinRack(rack, demand) }))
    .sort((left, right) => left.free - right.free)
  return fits.find((fit) => fit.blocks !== undefined)?.blocks
}

function fitWithinRack(rack: readonly FreeUpstream[], demand: Demand): Block[] | undefined {
  const blocks: Block[] = []
  const used = new Set<FreeUpstream>()
  let left = demand.gang.accelerators
  for (const upstream of [...rack].sort((one, other) => other.size - one.size)) {
    const whole = upstream.isWhollyFree && upstream.size > 0 && upstream.size <= left
    if (!whole || upstream.countAffordable(demand) < upstream.size) continue
    blocks.push({ upstreamId: upstream.upstreamId, acceleratorIndexes: upstream.freeIndexes })
    used.add(upstream)
    left -= upstream.size
  }
  if (left === 0) return blocks
  if (used.size === 0) return undefined
  const others = rack.filter((upstream) => !used.has(upstream))
  const rest = fitBlock(others, demand, left)
  return rest === undefined ? undefined : [...blocks, rest]
}

/** Any accelerators, from the upstreams with the fewest free ones first. */
function gather(upstreams: readonly FreeUpstream[], demand: Demand): Block[] | undefined {
  const blocks: Block[] = []
  let left = demand.gang.accelerators
  for (const upstream of [...upstreams].sort((one, other) => one.freeCount - other.freeCount)) {
    const count = Math.min(left, upstream.freeCount, upstream.countAffordable(demand))
    if (count === 0) continue
    const acceleratorIndexes = upstream.freeIndexes.slice(0, count)
    blocks.push({ upstreamId: upstream.upstreamId, acceleratorIndexes })
    left -= count
  }
  return left === 0 ? blocks : undefined
}

function countFree(upstreams: readonly FreeUpstream[]): number {
  return upstreams.reduce((sum, upstream) => sum + upstream.freeCount, 0)
}
