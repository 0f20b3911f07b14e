/** The extremes of numbers. */

/** Returns the greatest of the values and `least`; `least` is -Infinity by default. */
export function maxOf(values: Iterable<number>, least = -Infinity): number {
  let greatest = least
  for (const value of values) greatest = Math.max(greatest, value)
  return greatest
}

/** Returns the least of the values; Infinity if there are none. */
export function minOf(values: Iterable<number>): number {
  let least = Infinity
  for (const value of values) least = Math.min(least, value)
  return least
}
