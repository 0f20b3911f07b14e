/** A speed distribution given by the probabilities of the speeds of the grid. */
import { priorLogSpread } from './prior.js'
import {
  cellWidth,
  lowestEdge,
  measureLogMoments,
  speeds,
  sumFromEnd,
  type GridWeights,
} from './speedGrid.js'
import type { SpeedDistribution } from './speedDistribution.js'

/** An upstream is known once its distribution is at most this fraction as wide as the prior. */
const knownSpreadFraction = 0.5

export class GridDistribution implements SpeedDistribution {
  readonly mean: number
  readonly isKnown: boolean
  readonly logMean: number
  readonly logVariance: number
  readonly probabilities: GridWeights
  /** The probability of at least each speed of the grid. */
  readonly #sums: GridWeights

  /** `probabilities` sum to 1. */
  constructor(probabilities: GridWeights) {
    this.probabilities = probabilities
    this.#sums = sumFromEnd(probabilities)
    const moments = measureLogMoments(probabilities)
    this.logMean = moments.mean
    this.logVariance = moments.variance
    this.isKnown = Math.sqrt(moments.variance) <= priorLogSpread * knownSpreadFraction
    this.mean = probabilities.reduce((sum, share, index) => sum + share * (speeds[index] ?? 0), 0)
  }

  /** Each probability is taken as spread evenly over its cell, so that the result changes gradually with `speed`. */
  atLeast(speed: number): number {
    if (!(speed > 0)) return 1
    const position = (Math.log(speed) - lowestEdge) / cellWidth
    if (position <= 0) return 1
    const cell = Math.floor(position)
    const fromCell = this.#sums[cell]
    if (fromCell === undefined) return 0
    const above = this.#sums[cell + 1] ?? 0
    return Math.min(above + (fromCell - above) * (cell + 1 - position), 1)
  }
}
