/** The data model of batch work: cluster configuration, jobs with their steps and tasks, and upstreams. */
export * from './clusterConfig.js'
export * from './createProcessId.js'
export * from './findQueue.js'
export * from './jobRequest.js'
export * from './jobState.js'
export * from './listConfigFaults.js'
export * from './taskName.js'
export * from './upstreamDescription.js'
