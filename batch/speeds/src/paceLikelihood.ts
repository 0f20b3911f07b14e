/** How likely a pace is at each speed: log-normal around the speed, with a uniform part for outliers. */
import { logSpeeds } from './speedGrid.js'

/**
 * The share of runs whose pace says nothing about the upstream, such as stragglers that take several times as long. It
 * bounds the weight of one observation.
 */
const outlierShare = 0.1
/** The range of log paces over which outliers are spread: a factor of 150. */
const outlierLogRange = 5

const outlierDensity = outlierShare / outlierLogRange
const normalFactor = (1 - outlierShare) / Math.sqrt(2 * Math.PI)

/** Returns the density of `logPace` at each speed of the grid; `scatter` is the standard deviation of the log pace. */
export function computePaceLikelihood(logPace: number, scatter: number): number[] {
  return logSpeeds.map((logSpeed) => {
    const deviation = (logPace - logSpeed) / scatter
    return (normalFactor / scatter) * Math.exp(-(deviation * deviation) / 2) + outlierDensity
  })
}
