/**
 * A gang works at the speed of its slowest member. Its pace is therefore evidence on the slowest: it says little of a
 * member while others may have been the slowest, and much once these are known to be faster.
 */
import { sumFromEnd, type GridWeights } from './speedGrid.js'

/**
 * Returns for each member the likelihood of the gang's pace at each speed of that member, averaged over what is known of
 * the others. `likelihood` is that of the pace at each speed of the slowest member.
 */
export function computeGangLikelihoods(
  members: readonly GridWeights[],
  likelihood: GridWeights,
): number[][] {
  const survivals = members.map(sumFromEnd)
  const before = multiplyUp(survivals, likelihood.length)
  const after = multiplyUp(survivals.toReversed(), likelihood.length).toReversed()
  return members.map((_, member) => {
    const ofOthers = likelihood.map(
      (_density, speed) => (before[member]?.[speed] ?? 1) * (after[member]?.[speed] ?? 1),
    )
    return averageOverSlowest(ofOthers, likelihood)
  })
}

/** Returns for each row the product of all rows before it. */
function multiplyUp(rows: readonly GridWeights[], width: number): number[][] {
  let product = Array.from({ length: width }, () => 1)
  return rows.map((row) => {
    const before = product
    product = product.map((value, index) => value * (row[index] ?? 1))
    return before
  })
}

/** `othersAtLeast` is the probability that all others are at least that fast. */
function averageOverSlowest(othersAtLeast: GridWeights, likelihood: GridWeights): number[] {
  let slowerOthers = 0
  return likelihood.map((density, speed) => {
    const atLeast = othersAtLeast[speed] ?? 0
    const result = slowerOthers + atLeast * density
    slowerOthers += (atLeast - (othersAtLeast[speed + 1] ?? 0)) * density
    return result
  })
}
