/** How much of the free capacity is of no use to a shape, because it is not adjacent. */
import type { Shape } from '@nettlespur/api.schemas'
import { fitGang } from './fitGang.js'
import type { PlacementView } from './placementView.js'
import { Topology } from './topology.js'

/** Between 0 and 1; 0 where nothing is free. */
export function measureUnusableShare(
  view: Pick<PlacementView, 'upstreams' | 'held'>,
  gang: Shape,
): number {
  const topology = new Topology(view.upstreams, view.held)
  const free = topology.freeCount
  if (free === 0) return 0
  const demand = { gang, cpuCores: 0, memoryBytes: 0 }
  for (;;) {
    const blocks = fitGang(topology, demand)
    if (blocks === undefined) return topology.freeCount / free
    topology.takeAll(blocks, demand)
  }
}
