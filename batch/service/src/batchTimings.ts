/** Timings of batch work over control. */
import type { SessionTimings } from '@nettlespur/batch.sessions'
import type { RaftTimings } from '@nettlespur/consensus.raft'

export interface BatchTimings {
  readonly raft: RaftTimings
  readonly session: SessionTimings
  /** How often upstreams announce themselves. */
  readonly announceEveryMs: number
  /** How long an ended job is still shown. */
  readonly keepEndedMs: number
}
