/** The distribution of an upstream whose speed is certain, for tests and simulations. */
import type { SpeedDistribution } from './speedDistribution.js'

export function certainSpeed(speed: number): SpeedDistribution {
  return { atLeast: (wanted) => (speed >= wanted ? 1 : 0), mean: speed, isKnown: true }
}
