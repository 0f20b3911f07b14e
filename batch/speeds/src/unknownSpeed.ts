/** The speed of an upstream of which nothing is known. */
import { GridDistribution } from './gridDistribution.js'
import { priorProbabilities } from './prior.js'
import type { SpeedDistribution } from './speedDistribution.js'

const prior = new GridDistribution(priorProbabilities)

/** Its mean is exactly 1, so that estimates divided by it stay as they are. */
export const unknownSpeed: SpeedDistribution = {
  atLeast: (speed) => prior.atLeast(speed),
  mean: 1,
  isKnown: false,
}
