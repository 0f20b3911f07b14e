/** Takes any free accelerator, where it breaks up the least. */
import { BlockChooser } from './blockChooser.js'
import { measureEnclosingBlock } from './measureEnclosingBlock.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

/** Weighs the size of the surroundings above the free accelerators of the upstream. */
const enclosingBlockWeight = 1024

export class FreeChooser extends BlockChooser {
  isUsable(upstream: UpstreamCapacity, index: number): boolean {
    return upstream.holders[index] === undefined && upstream.promisedTo[index] === undefined
  }

  computeCost(upstream: UpstreamCapacity, from: number, count: number): number {
    return (
      measureEnclosingBlock(upstream, from, count, this) * enclosingBlockWeight + upstream.freeCount
    )
  }

  override countUsableMax(upstream: UpstreamCapacity): number {
    return upstream.freeCount
  }

  /** Gangs of several upstreams go to the rack with the least left over. */
  override computeRackCost(rack: readonly UpstreamCapacity[]): number {
    return rack.reduce((sum, upstream) => sum + upstream.freeCount, 0)
  }
}
