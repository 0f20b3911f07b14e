/**
 * The speeds that are told apart: a fixed list, each larger than the last by the same factor. A probability or weight for
 * each of them is an array of the same length, a `GridWeights`.
 */
export type GridWeights = readonly number[]

const slowest = 0.4
const factor = 1.2
const count = 13

export const speeds: readonly number[] = Array.from(
  { length: count },
  (_, index) => slowest * factor ** index,
)
export const logSpeeds: readonly number[] = speeds.map((speed) => Math.log(speed))

/** Each speed stands for the speeds up to half a step around it, on a logarithmic scale. */
export const cellWidth = Math.log(factor)
export const lowestEdge = Math.log(slowest) - cellWidth / 2

/** Scales the weights so that they sum to 1. */
export function normalise(weights: GridWeights): number[] {
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights.map((weight) => weight / sum)
}

/** Returns the probability of at least each speed. */
export function sumFromEnd(probabilities: GridWeights): number[] {
  const sums = [...probabilities]
  for (let index = sums.length - 2; index >= 0; index -= 1) {
    sums[index] = (sums[index] ?? 0) + (sums[index + 1] ?? 0)
  }
  return sums
}

export interface LogMoments {
  /** Of the natural logarithm of the speed. */
  readonly mean: number
  readonly variance: number
}

/** `probabilities` sum to 1. */
export function measureLogMoments(probabilities: GridWeights): LogMoments {
  let mean = 0
  let square = 0
  for (const [index, probability] of probabilities.entries()) {
    const logSpeed = logSpeeds[index] ?? 0
    mean += probability * logSpeed
    square += probability * logSpeed * logSpeed
  }
  return { mean, variance: Math.max(square - mean * mean, 0) }
}
