/** Decides which tasks start where, and which are preempted. */
export { planRound } from './planRound.js'
export { addResources, noResources } from './resources.js'
export type { ActiveRun, RoundDecision, SchedulerView, UpstreamRoom } from './schedulerView.js'
