/** A speed distribution given by the probabilities of the speeds of the grid. */
import { priorLogSpread } from './prior.js'
import { cellWidth, lowestEdge, measureLogMoments, speeds, type GridWeights } from './speedGrid.js'
import type { SpeedDistribution } from './speedDistribution.js'

/** An upstream is known once its distribution is at most this fraction as wide as the prior. */
const knownSpreadFraction = 0.5

export class GridDistribution implements SpeedDistribution {
  readonly mean: number
  readonly isKnown: boolean
  readonly logMean: number
  readonly logVariance: number
  readonly #probabilities: GridWeights

  /** `probabilities` sum to 1. */
  constructor(probabilities: GridWeights) {
    this.#probabilities = probabilities
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
    let probability = 0
    for (const [index, share] of this.#probabilities.entries()) {
      probability += share * Math.min(Math.max(index + 1 - position, 0), 1)
    }
    return Math.min(probability, 1)
  }

  get probabilities(): GridWeights {
    return this.#probabilities
  }
}
