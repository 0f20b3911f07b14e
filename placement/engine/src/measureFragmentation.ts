/** Measures fragmentation: the share of free accelerators that a shape cannot use. */
import type { Shape } from '@nettlespur/api.schemas'
import { ClusterMap, fitGang, FreeChooser, type RunningGang } from '@nettlespur/placement.topology'
import type { PlacementView } from './placementView.js'

/** Returns a share from 0 to 1; 0 if no accelerator is free. */
export function measureUnusableShare(
  view: Pick<PlacementView, 'upstreams' | 'running'>,
  gang: Shape,
): number {
  const map = new ClusterMap(view.upstreams, view.running)
  const free = map.freeCount
  if (free === 0) return 0
  const demand = { gang, cpuCores: 0, memoryBytes: 0 }
  const chooser = new FreeChooser()
  for (;;) {
    const blocks = fitGang(map, demand, chooser)
    if (blocks === undefined) return map.freeCount / free
    map.hold({ ...filler, gang, blocks })
  }
}

const filler: RunningGang = {
  jobId: 'filler',
  workspace: 'filler',
  urgency: 'normal',
  stoppability: 'never',
  gang: { accelerators: 1, adjacency: 'none' },
  cpuCores: 0,
  memoryBytes: 0,
  blocks: [],
  isStopping: false,
  startedAtMs: undefined,
  checkpointedAtMs: undefined,
  expectedRunTimeMs: 0,
  attempts: 1,
}
