/** What batch work is made of: cluster configuration, jobs of steps and tasks, upstreams. */
export * from './clusterConfig.js'
export * from './findQueue.js'
export * from './jobRequest.js'
export * from './jobState.js'
export * from './listConfigFaults.js'
export * from './taskName.js'
export * from './upstreamDescription.js'
