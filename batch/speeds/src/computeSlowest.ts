/** The distribution of the speed of the slowest of several upstreams. */
import { sumFromEnd, type GridWeights } from './speedGrid.js'

/** Returns the probability that the slowest member has each speed. */
export function computeSlowest(members: readonly GridWeights[]): number[] {
  const [first = [], ...others] = members.map(sumFromEnd)
  const atLeast = others.reduce<GridWeights>(
    (product, row) => product.map((value, index) => value * (row[index] ?? 1)),
    first,
  )
  return atLeast.map((value, index) => value - (atLeast[index + 1] ?? 0))
}
