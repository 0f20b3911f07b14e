/** Learns from the pace of runs how fast each upstream works. */
export { certainSpeed } from './certainSpeed.js'
export type { ObservedStep, PaceObservation } from './paceObservation.js'
export type { SpeedDistribution } from './speedDistribution.js'
export type { SpeedEstimate } from './speedEstimate.js'
export { unknownSpeed } from './unknownSpeed.js'
export { UpstreamSpeeds } from './upstreamSpeeds.js'
