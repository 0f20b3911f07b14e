/** Stands in for `@nettlespur/batch.speeds` until that package is merged. */
export interface SpeedDistribution {
  atLeast(speed: number): number
  readonly mean: number
  readonly isKnown: boolean
}

export const unknownSpeed: SpeedDistribution = { atLeast: () => 0.5, mean: 1, isKnown: false }
