/** Where a guaranteed shape may be mapped to, and where best: on its own work, then on free accelerators. */
import {
  BlockChooser,
  type ClusterMap,
  type Demand,
  type UpstreamCapacity,
} from '@nettlespur/placement.topology'
import { hasShareFor, isUnstoppable } from './measureSpare.js'

const ownUseGain = 1_000_000
const borrowedCost = 1000
const formingCost = 10_000
/** Weighs whole racks above single upstreams. */
const rackWeight = 10

export class ReservationChooser extends BlockChooser {
  readonly #workspace: string
  readonly #rackRates = new Map<UpstreamCapacity, number>()

  constructor(map: ClusterMap, workspace: string) {
    super()
    this.#workspace = workspace
    for (const rack of map.racks) {
      const rate = this.computeRackCost(rack)
      for (const room of rack) this.#rackRates.set(room, rate)
    }
  }

  isUsable(room: UpstreamCapacity, index: number): boolean {
    if (room.reservedFor[index] !== undefined || room.promisedTo[index] !== undefined) return false
    const holder = room.holders[index]
    return holder === undefined || holder.workspace === this.#workspace || !isUnstoppable(holder)
  }

  computeCost(room: UpstreamCapacity, from: number, count: number): number {
    if (!hasShareFor(room, this.#workspace, count)) return Number.POSITIVE_INFINITY
    let rate = countUnreserved(room) + this.#rateOfRack(room)
    for (let index = from; index < from + count; index += 1) {
      if (room.formingFor[index] !== undefined) rate += formingCost
      const holder = room.holders[index]
      if (holder === undefined) continue
      rate += holder.workspace === this.#workspace ? -ownUseGain : borrowedCost
    }
    return rate
  }

  /** Racks that keep something already come first, so that others stay open to large gangs. */
  override computeRackCost(rack: readonly UpstreamCapacity[]): number {
    return rack.reduce((sum, room) => sum + countUnreserved(room), 0)
  }

  /** Processors and memory are kept by even shares, whatever stoppable work uses now. */
  override countByCpuAndMemory(room: UpstreamCapacity, { gang }: Demand): number {
    let count = Math.min(room.size, gang.accelerators)
    while (count > 0 && !hasShareFor(room, this.#workspace, count)) count -= 1
    return count
  }

  #rateOfRack(room: UpstreamCapacity): number {
    return (this.#rackRates.get(room) ?? 0) * rackWeight
  }
}

/** Reservations are packed together, so that whole upstreams stay without any. */
function countUnreserved(room: UpstreamCapacity): number {
  return room.reservedFor.filter((workspace) => workspace === undefined).length
}
