/** Chooses free accelerators by best fit: from the smallest enclosing free block. */
import { BlockChooser } from './blockChooser.js'
import { measureEnclosingBlock } from './measureEnclosingBlock.js'
import type { UpstreamCapacity } from './upstreamCapacity.js'

/** Makes the size of the enclosing block count before the number of free accelerators of the upstream. */
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

  /** Prefers the rack with the fewest free accelerators for a gang that spans upstreams. */
  override computeRackCost(rack: readonly UpstreamCapacity[]): number {
    return rack.reduce((sum, upstream) => sum + upstream.freeCount, 0)
  }
}
