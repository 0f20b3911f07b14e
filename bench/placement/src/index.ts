/** Measures placement against simpler policies over seeded traces. */
export { measureTraces } from './measureTraces.js'
export type { Row } from './row.js'
