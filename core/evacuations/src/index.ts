/** Evacuations of data centres: the table in the replicated state, and the orders that change it. */
export {
  evacuationChangeSchema,
  evacuationSchema,
  type Evacuation,
  type EvacuationChange,
} from './evacuation.js'
export { EvacuationTable, type EvacuationOutcome } from './evacuationTable.js'
export { orderEvacuation, type EvacuationCalls, type EvacuationOrder } from './orderEvacuation.js'
