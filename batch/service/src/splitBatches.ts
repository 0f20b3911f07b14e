/** Splits ends of runs, or runs, into commands of a limited size: an upstream that is lost may have had any number of them. */

/** As many as an upstream lists at a time. */
const perCommandMax = 500

export function splitBatches<T>(items: readonly T[]): T[][] {
  const batchCount = Math.ceil(items.length / perCommandMax)
  return Array.from({ length: batchCount }, (_, at) =>
    items.slice(at * perCommandMax, (at + 1) * perCommandMax),
  )
}
