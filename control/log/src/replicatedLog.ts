/**
 * The log through which every change of the cluster's state passes. Only the leader accepts commands. A
 * command is committed once a quorum has it on disk, and is then applied to the state.
 */
import type { MemberView } from '@nettlespur/control.api'
import type { Command, CommandResult } from '@nettlespur/control.state'
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left } from 'purify-ts'
import type { Observable } from 'rxjs'

/** The current leader and term, as known to this instance. */
export interface Leadership {
  readonly isLeader: boolean
  readonly leaderId?: string | undefined
  /** Peer address of the leader. */
  readonly leaderAddress?: string | undefined
  readonly term: number
}

/** A control instance to be added as a member. */
export interface LogMember {
  readonly memberId: string
  readonly peerAddress: string
  readonly dataCentre: string
}

/** The status of the log, for operators. */
export interface LogDescription {
  readonly term: number
  readonly commitIndex: number
  /** Age of the newest snapshot; absent if there is none. */
  readonly snapshotAgeMs?: number | undefined
  readonly members: readonly MemberView[]
}

export abstract class ReplicatedLog {
  /** Emits the current value on subscription, then each change. */
  abstract readonly leadership: Observable<Leadership>

  /**
   * Resolves once the command is committed and applied on this instance. If the state refuses the command,
   * resolves with the refusal. Errors: `not-leader`, `no-quorum` and `disk-full` if it is certain that the
   * command never takes effect; `outcome-unknown` and `storage-failed` if it may still take effect.
   */
  abstract propose(command: Command): EitherAsync<NettlespurError, CommandResult>

  /**
   * Resolves once the local state reflects every command that was committed before the call. Errors:
   * `not-leader`, `no-quorum`.
   */
  abstract readBarrier(): EitherAsync<NettlespurError, void>

  abstract describe(): LogDescription

  /**
   * Adds a member, which does not count towards the quorum until it has caught up. Errors:
   * `membership-refused`, `not-leader`, `outcome-unknown`.
   */
  addMember({ memberId }: LogMember): EitherAsync<NettlespurError, void> {
    return refuseMembershipChange(memberId)
  }

  /** Removes a member. Errors: those of `addMember`, and `unknown-member`. */
  removeMember(memberId: string): EitherAsync<NettlespurError, void> {
    return refuseMembershipChange(memberId)
  }

  /** Transfers leadership to another member before a planned stop, if this instance leads. Never rejects. */
  transferLeadership(): Promise<void> {
    return Promise.resolve()
  }

  /** Settles every pending call, then closes the log. */
  abstract stop(): Promise<void>
}

function refuseMembershipChange(memberId: string): EitherAsync<NettlespurError, never> {
  const reason = `${memberId}: this log does not support membership changes`
  return EitherAsync.liftEither(Left(new NettlespurError('membership-refused', reason)))
}
