/** Test utilities: a control group with injected faults, on a manual clock. */
export { checkRecovery } from './checkRecovery.js'
export { ControlGroup, platformElectionTimeoutMs } from './controlGroup.js'
export { groupFaultKinds, type GroupFaultKind } from './groupFaults.js'
export { simulateGroup, type GroupSimulation } from './simulateGroup.js'
export { GroupOperator } from './groupOperator.js'
