/** Decides where gangs are placed and which are preempted, and gives the reason why others wait. */
export { createPolicy, type Objective } from './createPolicy.js'
export { RunTimeCorrection } from './runTimeCorrection.js'
export { measureUnusableShare } from './measureFragmentation.js'
export type {
  PlaceDecision,
  PlacementDecision,
  PreemptDecision,
  RefuseDecision,
  WaitDecision,
} from './placementDecision.js'
export { PlacementPolicy } from './placementPolicy.js'
export type { PlacementView, WaitingJob } from './placementView.js'
export { createPlacedGang } from './createPlacedGang.js'
