/** Which accelerators a search may take, and which of the blocks it finds is best. */
import type { Demand } from './demand.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

export abstract class BlockChooser {
  abstract isUsable(upstream: UpstreamCapacity, index: number): boolean

  /** Lower is better; infinite where the block must not be taken. All its accelerators are usable. */
  abstract computeCost(upstream: UpstreamCapacity, from: number, count: number): number

  /** How many accelerators of this upstream its processors and memory suffice for. */
  countByCpuAndMemory(upstream: UpstreamCapacity, demand: Demand): number {
    return upstream.countByCpuAndMemory(demand)
  }

  /** A quick upper bound for the accelerators of this upstream that are usable. */
  countUsableMax(upstream: UpstreamCapacity): number {
    return upstream.size
  }

  /** Added to the rates of the blocks a gang takes in this rack. */
  abstract computeRackCost(rack: readonly UpstreamCapacity[]): number
}
