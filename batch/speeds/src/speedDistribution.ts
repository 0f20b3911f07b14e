/**
 * What is known of the speed of one upstream, as a probability distribution. Speed 1 is the usual speed: a task that is
 * declared to take 10 s takes 10 s.
 */
export interface SpeedDistribution {
  /** Returns the probability that the upstream is at least that fast. */
  atLeast(speed: number): number
  readonly mean: number
  /** Whether evidence has narrowed the distribution clearly beyond the one of an upstream of which nothing is known. */
  readonly isKnown: boolean
}
