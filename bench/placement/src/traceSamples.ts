/** How fragmented the free accelerators are, sampled over the time in which jobs arrive. */
import type { Shape } from '@nettlespur/api.schemas'
import { measureUnusableShare, type PlacementView } from '@nettlespur/placement.engine'
import { ClusterMap } from '@nettlespur/placement.topology'
import type { Trace } from './trace.js'

const sampleEveryMs = 300_000

export class TraceSamples {
  readonly #trace: Trace
  #nextMs = 0
  #free = 0
  #unusable = 0
  #total = 0

  constructor(trace: Trace) {
    this.#trace = trace
  }

  take(nowMs: number, view: PlacementView): void {
    if (nowMs < this.#nextMs || nowMs > this.#trace.windowMs) return
    this.#nextMs = nowMs + sampleEveryMs
    const map = new ClusterMap(view.upstreams, view.running)
    const shapes = listShapes(view)
    const shares = shapes.map((shape) => measureUnusableShare(view, shape))
    const mean = shares.reduce((sum, share) => sum + share, 0) / Math.max(1, shares.length)
    this.#free += map.freeCount
    this.#unusable += mean * map.freeCount
    this.#total += map.size
  }

  /** Share of the free accelerators that is of no use to a guaranteed or waiting shape, on average. */
  get unusableOfFree(): number {
    return this.#free === 0 ? 0 : this.#unusable / this.#free
  }

  /** The same, as a share of all accelerators. */
  get unusableOfAll(): number {
    return this.#total === 0 ? 0 : this.#unusable / this.#total
  }

  get busyShare(): number {
    return this.#total === 0 ? 0 : 1 - this.#free / this.#total
  }
}

function listShapes({ contracts, waiting }: PlacementView): Shape[] {
  const byName = new Map<string, Shape>()
  const shapes = [
    ...contracts.flatMap((contract) => contract.guarantees),
    ...waiting.map((job) => job.gang),
  ]
  for (const { accelerators, adjacency } of shapes) {
    byName.set(`${accelerators} ${adjacency}`, { accelerators, adjacency })
  }
  return [...byName.values()]
}
