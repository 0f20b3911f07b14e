/** Where a guaranteed shape may be mapped to, and where best: on its own work, then on free accelerators. */
import {
  BlockChooser,
  type ClusterMap,
  type Demand,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import { canReserveShare, isUnstoppable } from './measureSpareResources.js'

const ownUseGain = 1_000_000
const borrowedCost = 1000
const formingCost = 10_000
/** Weighs whole racks above single upstreams. */
const rackWeight = 10

export class ReservationChooser extends BlockChooser {
  readonly #workspace: string
  readonly #rackCosts = new Map<UpstreamCapacity, number>()

  constructor(map: ClusterMap, workspace: string) {
    super()
    this.#workspace = workspace
    for (const rack of map.racks) {
      const cost = this.computeRackCost(rack)
      for (const upstream of rack) this.#rackCosts.set(upstream, cost)
    }
  }

  isUsable(upstream: UpstreamCapacity, index: number): boolean {
    if (upstream.reservedFor[index] !== undefined || upstream.promisedTo[index] !== undefined)
      return false
    const holder = upstream.holders[index]
    return holder === undefined || holder.workspace === this.#workspace || !isUnstoppable(holder)
  }

  computeCost(upstream: UpstreamCapacity, from: number, count: number): number {
    if (!canReserveShare(upstream, this.#workspace, count)) return Number.POSITIVE_INFINITY
    let cost = countUnreserved(upstream) + this.#getRackCost(upstream)
    for (let index = from; index < from + count; index += 1) {
      if (upstream.formingFor[index] !== undefined) cost += formingCost
      const holder = upstream.holders[index]
      if (holder === undefined) continue
      cost += holder.workspace === this.#workspace ? -ownUseGain : borrowedCost
    }
    return cost
  }

  /** Racks that keep something already come first, so that others stay open to large gangs. */
  override computeRackCost(rack: readonly UpstreamCapacity[]): number {
    return rack.reduce((sum, upstream) => sum + countUnreserved(upstream), 0)
  }

  /** Processors and memory are kept by even shares, whatever stoppable work uses now. */
  override countByCpuAndMemory(upstream: UpstreamCapacity, { gang }: Demand): number {
    let count = Math.min(upstream.size, gang.accelerators)
    while (count > 0 && !canReserveShare(upstream, this.#workspace, count)) count -= 1
    return count
  }

  #getRackCost(upstream: UpstreamCapacity): number {
    return (this.#rackCosts.get(upstream) ?? 0) * rackWeight
  }
}

/** Reservations are packed together, so that whole upstreams stay without any. */
function countUnreserved(upstream: UpstreamCapacity): number {
  return upstream.reservedFor.filter((workspace) => workspace === undefined).length
}
