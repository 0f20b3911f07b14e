/** Nodes in memory, for tests only. */
export { createMember, TestCluster, type TestClusterOptions } from './testCluster.js'
