/** Test utilities: a cluster of Raft nodes on simulated disks, links and clocks in one process. */
export { createSeededRandom } from './seededRandom.js'
export { startClusterWithLeader } from './startClusterWithLeader.js'
export { createMember, TestCluster, type TestClusterOptions } from './testCluster.js'
