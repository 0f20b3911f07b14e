/** Decides which tasks start on which upstreams, and which runs are preempted. */
export { planRound } from './planRound.js'
export { addResources, measureCores, noResources } from './resources.js'
export type {
  ActiveRun,
  Preemption,
  RoundDecision,
  SchedulerView,
  SchedulableUpstream,
} from './schedulerView.js'
