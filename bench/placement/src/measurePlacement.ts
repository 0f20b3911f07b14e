/** All figures of placement. */
import { measureDecisionCost } from './measureDecisionCost.js'
import { measureTraces, type TraceMeasureOptions } from './measureTraces.js'
import type { Row } from './row.js'

export async function measurePlacement(opts: TraceMeasureOptions = {}): Promise<Row[]> {
  return [...measureDecisionCost(), ...(await measureTraces(opts))]
}
