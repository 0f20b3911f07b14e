/** Options of a Raft node. */
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { LogStore } from '@nettlespur/storage.log'
import type { Member } from './member.js'
import type { RaftTransport } from './raftTransport.js'
import type { StateMachine } from './stateMachine.js'

export interface RaftTimings {
  readonly heartbeatMs: number
  /** Minimum time without a leader before an election; the maximum is 1.5 times as long. */
  readonly electionTimeoutMs: number
  /** A voter that has been silent for longer is replaced if a learner is ready. */
  readonly replaceVoterAfterMs: number
  /** Minimum time between two requests to one peer; entries added meanwhile are batched. Default: 0. */
  readonly requestGapMs?: number
}

export interface RaftLimits {
  /** Maximum payload bytes of one append request and of one write of the leader; a larger single entry still fits. */
  readonly batchBytes: number
  /** Maximum number of proposals that wait for their outcome. */
  readonly waitingProposals: number
  /** A snapshot is taken once this many entries were applied since the last one. */
  readonly snapshotEveryEntries: number
  /** A snapshot is taken once this many payload bytes were applied since the last one. */
  readonly snapshotEveryBytes: number
  /** Entries kept in the log before a snapshot, so that slightly lagging followers need no snapshot. */
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
  /** The initial voters; used only while neither the log nor a snapshot holds a membership. */
  initialMembers: readonly Member[]
  clock: Clock
  logger: Logger
  store: LogStore
  transport: RaftTransport
  machine: StateMachine<R>
  timings: RaftTimings
  limits?: Partial<RaftLimits>
  /**
   * Whether the leader may answer reads under a lease; true by default. Must be false if the monotonic clock stops
   * while the instance is suspended: after resuming, a former leader would still trust its expired lease.
   */
  leaseReads?: boolean
  /** Called when a fault disables this member until a restart, which reads again what its disk holds. */
  onFault?: (fault: NettlespurError) => void
  /** A number in [0, 1); Math.random by default. */
  random?: () => number
}
