/** Splits ends of runs into commands of a limited size: an upstream that is lost may have had any number of runs. */
import type { RunEnd } from '@nettlespur/batch.state'

/** As many as an upstream lists at a time. */
const endsPerCommandMax = 500

export function splitEnds(ends: readonly RunEnd[]): RunEnd[][] {
  const batchCount = Math.ceil(ends.length / endsPerCommandMax)
  return Array.from({ length: batchCount }, (_, at) =>
    ends.slice(at * endsPerCommandMax, (at + 1) * endsPerCommandMax),
  )
}
