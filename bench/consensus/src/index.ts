/** Measures agreement: commit latency, throughput, failover and recovery. */
export type { FigureRow } from './figureRow.js'
export { measureConsensus } from './measureConsensus.js'
