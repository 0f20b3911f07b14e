/** Keeps the free accelerators of the place where a waiting gang will fit soonest from jobs behind it. */
import type { Block, Demand } from './placementView.js'
import type { FreeUpstream, Topology } from './topology.js'

/** The upstreams whose free accelerators are now kept. */
export function holdFormingBlock(topology: Topology, demand: Demand): string[] {
  const kept = pickForming(topology, demand).filter((upstream) => upstream.freeCount > 0)
  for (const upstream of kept) upstream.take(listFree(upstream), 0, 0)
  return kept.map((upstream) => upstream.upstreamId)
}

function pickForming(topology: Topology, { gang }: Demand): readonly FreeUpstream[] {
  const largeEnough = topology.upstreams.filter((upstream) => upstream.size >= gang.accelerators)
  if (gang.adjacency === 'none') return topology.upstreams
  if (largeEnough.length > 0) return pickFreest(largeEnough.map((upstream) => [upstream]))
  if (gang.adjacency === 'upstream') return []
  const racks = topology.listRacks().filter((rack) => countSize(rack) >= gang.accelerators)
  return pickFreest(racks)
}

/** The group that lacks the fewest accelerators of being wholly free. */
function pickFreest(groups: readonly (readonly FreeUpstream[])[]): readonly FreeUpstream[] {
  let best: readonly FreeUpstream[] = []
  for (const group of groups) {
    if (best.length === 0 || countFree(group) > countFree(best)) best = group
  }
  return best
}

function listFree(upstream: FreeUpstream): Block {
  return { upstreamId: upstream.upstreamId, acceleratorIndexes: upstream.freeIndexes }
}

function countFree(group: readonly FreeUpstream[]): number {
  return group.reduce((sum, upstream) => sum + upstream.freeCount, 0)
}

function countSize(group: readonly FreeUpstream[]): number {
  return group.reduce((sum, upstream) => sum + upstream.size, 0)
}
