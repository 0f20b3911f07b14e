/** Plays crowded days against the scheduler of batch work and measures what its jobs earn and what a round costs. */
export { boundEarnings } from './boundEarnings.js'
export {
  createCrashingDay,
  createCrowdedDay,
  createTroubledDay,
  type CrowdedDay,
} from './crowdedDay.js'
export { createEvacuatedDay } from './evacuatedDay.js'
export { cscfba, fsww, growDeployment, shifted, thapa, type Deployment } from './deployment.js'
export { builds, rosters } from './hardDeployments.js'
export { createThinnedDay } from './thinnedDay.js'
export { measurePolicy, type PolicyMeasureOptions } from './measurePolicy.js'
export type { DayResult } from './measureDay.js'
export { playDay } from './playDay.js'
export { allParts, defaultParts, type PolicyParts } from './policyParts.js'
