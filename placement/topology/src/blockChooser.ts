/** Which accelerators a search may take, and which of the blocks it finds is best. */
import type { Demand } from './demand.js'
import type { UpstreamRoom } from './upstreamRoom.js'

export abstract class BlockChooser {
  abstract isUsable(room: UpstreamRoom, index: number): boolean

  /** Lower is better; infinite where the block must not be taken. All its accelerators are usable. */
  abstract rate(room: UpstreamRoom, from: number, count: number): number

  /** How many accelerators of this upstream its processors and memory suffice for. */
  countAffordable(room: UpstreamRoom, demand: Demand): number {
    return room.countAffordable(demand)
  }

  /** A quick upper bound for the accelerators of this upstream that are usable. */
  countUsableMax(room: UpstreamRoom): number {
    return room.size
  }

  /** Added to the rates of the blocks a gang takes in this rack. */
  abstract rateRack(rack: readonly UpstreamRoom[]): number
}
