/** Decides which accelerators a search may use and ranks the blocks it finds by cost. */
import type { Demand } from './demand.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

export abstract class BlockChooser {
  abstract isUsable(upstream: UpstreamCapacity, index: number): boolean

  /**
   * Cost of the block of `count` accelerators from index `from`, all of which are usable. The block with
   * the lowest cost is taken; one with infinite cost never is.
   */
  abstract computeCost(upstream: UpstreamCapacity, from: number, count: number): number

  /** Number of the gang's accelerators for which this upstream has enough processors and memory. */
  countByCpuAndMemory(upstream: UpstreamCapacity, demand: Demand): number {
    return upstream.countByCpuAndMemory(demand)
  }

  /** A cheap upper bound on the number of usable accelerators of this upstream. */
  countUsableMax(upstream: UpstreamCapacity): number {
    return upstream.size
  }

  /** Cost of using this rack, added to the costs of the blocks that a gang takes there. */
  abstract computeRackCost(rack: readonly UpstreamCapacity[]): number
}
