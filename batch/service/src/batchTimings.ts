/** Timings of batch scheduling on the control members. */
import type { ClaimBounds } from '@nettlespur/batch.scheduler'
import type { SessionTimings } from '@nettlespur/batch.sessions'
import type { RaftTimings } from '@nettlespur/consensus.raft'

export interface BatchTimings {
  readonly raft: RaftTimings
  readonly session: SessionTimings
  /** How often upstreams announce themselves. */
  readonly announceEveryMs: number
  /** How long a job stays readable after it has ended. */
  readonly keepEndedMs: number
  /** Absent where the settings have none. */
  readonly claimBounds?: ClaimBounds | undefined
}
