/** Measures the log store: appends, group commit, recovery time. */
export { measureStorage, type MeasureStorageOptions } from './measureStorage.js'
export type { MeasuredRow } from './measuredRow.js'
