/** Where gangs are placed, and why those that wait are waiting. */
export { BestFitPolicy } from './bestFitPolicy.js'
export { measureUnusableShare } from './measureFragmentation.js'
export type {
  PlaceDecision,
  PlacementDecision,
  PreemptDecision,
  RefuseDecision,
  WaitDecision,
} from './placementDecision.js'
export { PlacementPolicy } from './placementPolicy.js'
export type { Block, Demand, HeldBlock, PlacementView, WaitingJob } from './placementView.js'
export { fitGang } from './fitGang.js'
export { Topology } from './topology.js'
