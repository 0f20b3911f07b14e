/** The replicated state of batch jobs, and the commands that change it. */
export type { UpstreamSpeed } from './upstreamSpeed.js'
export { BatchMachine, encodeCommand } from './batchMachine.js'
export { batchSnapshotSchema, type BatchSnapshot } from './batchSnapshot.js'
export { BatchState } from './batchState.js'
export * from './command.js'
export type { CrashBlame } from './crashRecord.js'
export { showsBegunTask } from './begunJobs.js'
export { describeJob } from './describeJob.js'
export { isStaleAnnouncement } from './isStaleAnnouncement.js'
export { isStepDone } from './isStepDone.js'
export { isSuspectTask } from './isSuspectTask.js'
export {
  countCrashes,
  isHeldBack,
  listSilences,
  type SilenceVerdict,
  type UpstreamLoss,
} from './upstreamLosses.js'
export { isInUnit, isLateDone } from './lateEnd.js'
export { measureJobSize } from './measureJobSize.js'
export {
  hasPlacements,
  listPlacements,
  listStepPlacements,
  PlacementIndex,
} from './placementIndex.js'
export type { JobRecord, JobStatus, StepRecord, TaskRecord, UpstreamRecord } from './records.js'
