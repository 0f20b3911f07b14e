/** Decides which tasks start on which upstreams, and which runs are preempted. */
export type { ClaimBounds } from './claimBounds.js'
export { HeadroomWatch } from './headroomWatch.js'
export type { ExpectedClaims } from './expectedClaims.js'
export type { HeadroomView } from './headroomView.js'
export { planRound } from './planRound.js'
export { planRoundSafely, type JobFault } from './planRoundSafely.js'
export { placementsPerRoundMax } from './roundLimits.js'
export type { Preference } from './preference.js'
export { addResources, countFitting, measureCores, noResources } from './resources.js'
export type {
  ActiveRun,
  Preemption,
  RoundDecision,
  SchedulerView,
  SchedulableUpstream,
  UpstreamAvailability,
} from './schedulerView.js'
export type { GradedPool, SpeedChoice, SpeedDecisions } from './speedDecisions.js'
export { StarvationTimes } from './starvationTimes.js'
export type { StarvationReason, StarvingUnit } from './starvingUnit.js'
