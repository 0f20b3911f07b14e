/** The benches of these names in the list's order, all where none is named; undefined where one is unknown. */
import type { Bench } from './bench.js'

export function pickBenches(
  known: readonly Bench[],
  names: readonly string[],
): readonly Bench[] | undefined {
  if (names.length === 0) return known
  const missing = names.some((name) => !known.some((bench) => bench.name === name))
  return missing ? undefined : known.filter((bench) => names.includes(bench.name))
}
