/** Estimates from the paces of a step's other tasks by what factor its declared run time is off. */

/** Scatter of the log pace of a task, once the error of the declared run time is removed. */
export const taskScatter = 0.25
/** A median varies more than a mean: by this factor, in terms of variance. */
const medianVarianceFactor = Math.PI / 2

export interface ComparedPace {
  /** Log pace less the log of the speed expected there. */
  readonly logRatio: number
  /** Variance of the log of that speed. */
  readonly logVariance: number
}

export interface DeclarationError {
  /** Natural logarithm of the factor. */
  readonly log: number
  readonly variance: number
}

/**
 * The median removes the error as far as the number of paces and what is known of their upstreams allow; the rest is
 * left to what is assumed of the queue: `mean` and `scatter` of the log factor.
 */
export function estimateDeclarationError(
  paces: readonly ComparedPace[],
  { mean, scatter }: { mean: number; scatter: number },
): DeclarationError {
  const variance = scatter ** 2
  if (paces.length === 0) return { log: mean, variance }
  const totalVariance = paces.reduce(
    (sum, { logVariance }) => sum + logVariance + taskScatter ** 2,
    0,
  )
  const medianVariance = (medianVarianceFactor * totalVariance) / paces.length ** 2
  const weight = variance / (variance + medianVariance)
  const median = findMedian(paces.map(({ logRatio }) => logRatio))
  return { log: mean + weight * (median - mean), variance: weight * medianVariance }
}

function findMedian(values: readonly number[]): number {
  const sorted = values.toSorted((one, other) => one - other)
  const middle = sorted.length / 2
  const upper = sorted[Math.floor(middle)] ?? 0
  return Number.isInteger(middle) ? ((sorted[middle - 1] ?? upper) + upper) / 2 : upper
}
