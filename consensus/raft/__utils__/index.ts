/** Nodes in memory, for tests only. */
export { createSeededRandom } from './seededRandom.js'
export { startLedCluster } from './startLedCluster.js'
export { createMember, TestCluster, type TestClusterOptions } from './testCluster.js'
