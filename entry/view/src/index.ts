/** The entry's in-memory copy of the cluster state, kept up to date by watching control. */
export { ClusterView, type ClusterViewOptions, type WatchPosition } from './clusterView.js'
export { ContractLease } from './contractLease.js'
export { announceLeaving, watchCluster, type WatchClusterOptions } from './watchCluster.js'
