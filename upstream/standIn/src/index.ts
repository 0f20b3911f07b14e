/** Small stand-in upstream for trials and tests. */
export { callKinds, type CallKind, type FaultCommand, type Faults } from './faults.js'
export {
  startStandInUpstream,
  type StandInUpstream,
  type StandInUpstreamOptions,
} from './startStandInUpstream.js'
export type { TaskRun, TaskTableOptions } from './taskTable.js'
