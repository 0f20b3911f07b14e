/** How far off the declared run times of one queue are: learned from runs on upstreams whose speed is known. */

const initialScatter = 0.5
/** Tasks of one step scatter by about this much already. */
const scatterMin = 0.25
const scatterMax = 1
/** The initial values count as this many observations, and the averages follow at most `observationsMax`. */
const initialObservations = 20
const observationsMax = 120
/** Deviations beyond this many times the scatter count as that many, so that stragglers do not widen it. */
const deviationsMax = 2.5
/** Callers that declare beyond this factor too much or too little are taken as at this factor. */
const meanMax = Math.log(3)

export class QueueErrors {
  /** Mean of the natural logarithm of pace by speed: above 0 if the declared run times are too long. */
  mean = 0
  scatter = initialScatter
  #observations = initialObservations

  /** `logRatio` is the log pace less the log of the speed, which is known up to `logVariance`. */
  note(logRatio: number, logVariance: number): void {
    this.#observations = Math.min(this.#observations + 1, observationsMax)
    const smoothing = 1 / this.#observations
    const limit = deviationsMax * this.scatter
    const deviation = Math.min(Math.max(logRatio - this.mean, -limit), limit)
    this.mean = Math.min(Math.max(this.mean + smoothing * deviation, -meanMax), meanMax)
    const variance =
      this.scatter ** 2 + smoothing * (deviation ** 2 - logVariance - this.scatter ** 2)
    this.scatter = Math.min(Math.max(Math.sqrt(Math.max(variance, 0)), scatterMin), scatterMax)
  }
}
