/** Batch scheduling on the control members: replicated state, the leader's work, and the client that calls the leader. */
export {
  BatchApi,
  type JobCall,
  type LeaderView,
  type QueueCall,
  type SubmitCall,
} from './batchApi.js'
export type { CallerWait } from './callerWait.js'
export type { LeavingUpstream } from './announcementTable.js'
export {
  buildSchedulerView,
  type BuildSchedulerViewOptions,
  type ListRunsOptions,
} from './buildSchedulerView.js'
export { listRunsCutShort } from './listRunsCutShort.js'
export { BatchNode, type BatchNodeOptions } from './batchNode.js'
export type { BatchTimings } from './batchTimings.js'
export { createBatchRouter, type BatchRouter, type RelayReceiver } from './createBatchRouter.js'
export { LeaderClient, type LeaderClientOptions } from './leaderClient.js'
export { RpcRelayLink, type RpcRelayLinkOptions } from './rpcRelayLink.js'
export {
  RecordFaultReporter,
  type RecordFault,
  type RecordFaultKind,
  type RecordFaultReporterOptions,
} from './recordFaultReporter.js'
export { SpeedLearner, type SpeedLearnerOptions } from './speedLearner.js'
export type { UpstreamSpeedsMode } from './upstreamSpeedsMode.js'
export { UpstreamHealth } from './upstreamHealth.js'
