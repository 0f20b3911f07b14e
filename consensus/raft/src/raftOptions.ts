/** What a Raft node is made of. */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { LogStore } from '@nettlespur/storage.log'
import type { Member } from './member.js'
import type { RaftTransport } from './raftTransport.js'
import type { StateMachine } from './stateMachine.js'

export interface RaftTimings {
  readonly heartbeatMs: number
  /** The shortest silence of a leader after which others may be elected; the longest is half as long again. */
  readonly electionTimeoutMs: number
  /** A voter silent for this long is replaced where a learner stands ready. */
  readonly replaceVoterAfterMs: number
  /** The shortest time between two requests to one peer: what comes meanwhile goes together. Default: 0. */
  readonly requestGapMs?: number
}

export interface RaftLimits {
  /** Payload bytes of one append to a follower, and of one sync of the leader. */
  readonly batchBytes: number
  /** Proposals that may wait for their commit. */
  readonly waitingProposals: number
  /** Entries applied since the last snapshot before the next one is taken. */
  readonly snapshotEveryEntries: number
  /** Bytes applied since the last snapshot before the next one is taken. */
  readonly snapshotEveryBytes: number
  /** Entries kept behind a snapshot for followers that are a little late. */
  readonly keepEntries: number
  readonly snapshotChunkBytes: number
}

export const defaultLimits: RaftLimits = {
  batchBytes: 1_048_576,
  waitingProposals: 4096,
  snapshotEveryEntries: 10_000,
  snapshotEveryBytes: 16_777_216,
  keepEntries: 1000,
  snapshotChunkBytes: 262_144,
}

export interface RaftOptions<R> {
  memberId: string
  /** The first voters; used only while the log says nothing of members. */
  initialMembers: readonly Member[]
  clock: Clock
  logger: Logger
  store: LogStore
  transport: RaftTransport
  machine: StateMachine<R>
  timings: RaftTimings
  limits?: Partial<RaftLimits>
  /**
   * Whether a read may rest on the time since a quorum last answered; true by default. To be false where the
   * monotonic clock stands still while the instance is suspended: a former leader would trust its lease then.
   */
  leaseReads?: boolean
  /** Told when this member takes part no more: only a new start finds out what its disk holds. */
  onFault?: (fault: NettlespurError) => void
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
}
