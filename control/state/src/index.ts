/** The replicated state of the cluster as a deterministic state machine. */
export { isResolved } from './claimTable.js'
export {
  commandSchema,
  type Assignment,
  type Command,
  type CommandOf,
  type TaskFailure,
} from './command.js'
export {
  readClaim,
  readContract,
  readEvacuation,
  readJob,
  type CommandResult,
  type Refused,
} from './commandResult.js'
export { ControlState } from './controlState.js'
export { legalTransitions } from './jobChange.js'
export { jobRecordSchema, toJobView, type JobRecord } from './jobRecord.js'
export {
  answerBytesMax,
  changeIdsMax,
  claimsMax,
  endedJobMaxAgeMs,
  endedJobsMax,
} from './retention.js'
export { type UpstreamHealth } from './upstreamHealthRecord.js'
export { StateHolder } from './stateHolder.js'
export { stateSnapshotSchema, type StateSnapshot } from './stateSnapshot.js'
