/**
 * Chooses the accelerators that a guaranteed shape is mapped to: preferably those that its workspace already
 * uses, then free ones, then those that other workspaces borrow.
 */
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
/** Makes packing reservations into few racks count more than packing them into few upstreams. */
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

  /** Prefers racks that already have reservations, so that other racks stay free for large gangs. */
  override computeRackCost(rack: readonly UpstreamCapacity[]): number {
    return rack.reduce((sum, upstream) => sum + countUnreserved(upstream), 0)
  }

  /** Counts by even shares; what stoppable gangs use does not matter, since it can be reclaimed. */
  override countByCpuAndMemory(upstream: UpstreamCapacity, { gang }: Demand): number {
    let count = Math.min(upstream.size, gang.accelerators)
    while (count > 0 && !canReserveShare(upstream, this.#workspace, count)) count -= 1
    return count
  }

  #getRackCost(upstream: UpstreamCapacity): number {
    return (this.#rackCosts.get(upstream) ?? 0) * rackWeight
  }
}

/** A low count is preferred, which packs reservations together and keeps other upstreams free of them. */
function countUnreserved(upstream: UpstreamCapacity): number {
  return upstream.reservedFor.filter((workspace) => workspace === undefined).length
}
