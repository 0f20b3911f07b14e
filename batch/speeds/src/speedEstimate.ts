/** A learned speed in two numbers, as it is replicated. */
export interface SpeedEstimate {
  readonly mean: number
  /** Standard deviation of the natural logarithm of the speed: the smaller, the more certain. */
  readonly logSpread: number
}
