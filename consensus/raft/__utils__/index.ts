/** Nodes in memory, for tests only. */
export { createSeededRandom } from './seededRandom.js'
export { startClusterWithLeader } from './startClusterWithLeader.js'
export { createMember, TestCluster, type TestClusterOptions } from './testCluster.js'
