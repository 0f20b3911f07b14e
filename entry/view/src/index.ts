/** The entry's soft copy of the cluster, kept by watching control. */
export { ClusterView, type ClusterViewOptions, type WatchPosition } from './clusterView.js'
export { ContractLease } from './contractLease.js'
export { announceLeaving, watchCluster, type WatchClusterOptions } from './watchCluster.js'
