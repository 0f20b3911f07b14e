/** The upstreams that accept work, by id and rack, with the resources that running gangs hold on them. */
import type { UpstreamView } from '@nettlespur/api.schemas'
import type { Block } from './block.js'
import { computeDemandShare } from './demand.js'
import type { RunningGang } from './runningGang.js'
import { UpstreamCapacity } from './upstreamCapacity.js'

export class ClusterMap {
  /** Sorted by upstream id. */
  readonly upstreams: readonly UpstreamCapacity[]
  /** Grouped by data centre and rack. */
  readonly racks: readonly (readonly UpstreamCapacity[])[]
  readonly #byId: ReadonlyMap<string, UpstreamCapacity>

  /** Leaves out upstreams that are not ready, since they accept no new work. */
  constructor(upstreams: readonly UpstreamView[], running: readonly RunningGang[]) {
    this.upstreams = upstreams
      .filter((view) => view.state === 'ready')
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1))
      .map((view) => new UpstreamCapacity(view))
    this.#byId = new Map(this.upstreams.map((upstream) => [upstream.upstreamId, upstream]))
    this.racks = groupByRack(this.upstreams)
    for (const gang of running) this.hold(gang)
  }

  get freeCount(): number {
    return this.upstreams.reduce((sum, upstream) => sum + upstream.freeCount, 0)
  }

  /** Number of accelerators of the largest upstream. */
  get largestUpstreamSize(): number {
    return this.upstreams.reduce((most, upstream) => Math.max(most, upstream.size), 0)
  }

  get size(): number {
    return this.upstreams.reduce((sum, upstream) => sum + upstream.size, 0)
  }

  find(upstreamId: string): UpstreamCapacity | undefined {
    return this.#byId.get(upstreamId)
  }

  /** Records the gang's resources as in use. Ignores its members on upstreams that are not in the map. */
  hold(gang: RunningGang): void {
    for (const { upstreamId, acceleratorIndexes } of gang.blocks) {
      const upstream = this.#byId.get(upstreamId)
      if (upstream === undefined) continue
      for (const index of acceleratorIndexes) upstream.hold(index, gang)
      const { cpuCores, memoryBytes } = computeDemandShare(gang, acceleratorIndexes.length)
      upstream.deductResources(cpuCores, memoryBytes)
    }
  }

  /** Calls `visit` for each accelerator of these blocks that exists in the map. */
  visit(
    blocks: readonly Block[],
    visit: (upstream: UpstreamCapacity, index: number) => void,
  ): void {
    for (const { upstreamId, acceleratorIndexes } of blocks) {
      const upstream = this.#byId.get(upstreamId)
      if (upstream === undefined) continue
      for (const index of acceleratorIndexes) if (index < upstream.size) visit(upstream, index)
    }
  }
}

function groupByRack(upstreams: readonly UpstreamCapacity[]): UpstreamCapacity[][] {
  const racks = new Map<string, UpstreamCapacity[]>()
  for (const upstream of upstreams) {
    const name = `${upstream.view.dataCentre} ${upstream.view.rack}`
    const rack = racks.get(name)
    if (rack === undefined) racks.set(name, [upstream])
    else rack.push(upstream)
  }
  return [...racks.values()]
}
