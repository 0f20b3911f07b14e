/** The mean difference between two variants over the same days, and how far it can be trusted. */

export interface PairedDifference {
  readonly without: number
  readonly with: number
  readonly difference: number
  /** Of the difference; 0 for fewer than two days. */
  readonly standardError: number
}

/** Both lists are in the order of the days. */
export function computePairedDifference(
  withPart: readonly number[],
  without: readonly number[],
): PairedDifference {
  const differences = withPart.map((value, at) => value - (without[at] ?? NaN))
  const difference = meanOf(differences)
  const squares = differences.map((value) => (value - difference) ** 2)
  const variance = squares.reduce((sum, square) => sum + square, 0) / (differences.length - 1)
  return {
    without: meanOf(without),
    with: meanOf(withPart),
    difference,
    standardError: differences.length < 2 ? 0 : Math.sqrt(variance / differences.length),
  }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
