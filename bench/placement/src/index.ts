/** Measures placement against simpler policies over seeded traces. */
export { measureDecisionCost } from './measureDecisionCost.js'
export { measurePlacement } from './measurePlacement.js'
export { measureTraces, type TraceMeasureOptions } from './measureTraces.js'
export type { Row } from './row.js'
export { SeededRandom } from './seededRandom.js'
