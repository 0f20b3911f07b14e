/** What is assumed of the speed of an upstream before there is evidence: broad, with a mean of 1. */
import { logSpeeds, measureLogMoments, normalise } from './speedGrid.js'

/** Wide enough that an upstream of half or twice the usual speed is no surprise. */
const logSpread = 0.6
/** The median of a skewed distribution lies below its mean; with this one the mean is 1. */
const logMedian = -0.239

export const priorProbabilities: readonly number[] = normalise(
  logSpeeds.map((logSpeed) => Math.exp(-((logSpeed - logMedian) ** 2) / (2 * logSpread ** 2))),
)
export const priorMoments = measureLogMoments(priorProbabilities)
export const priorLogSpread = Math.sqrt(priorMoments.variance)
