/**
 * The log that every change of the cluster's state goes through. A command counts once a quorum has it on
 * disk; the log then applies it to the state, and only the leader takes new ones.
 */
import type { MemberView } from '@nettlespur/control.api'
import type { Command, CommandResult } from '@nettlespur/control.state'
import { NettlespurError } from '@nettlespur/core.errors'
import { EitherAsync, Left } from 'purify-ts'
import type { Observable } from 'rxjs'

/** Who leads, as this instance sees it. */
export interface Leadership {
  readonly isLeader: boolean
  readonly leaderId?: string | undefined
  /** Peer address of the leader. */
  readonly leaderAddress?: string | undefined
  readonly term: number
}

/** A control instance that is to take part. */
export interface LogMember {
  readonly memberId: string
  readonly peerAddress: string
  readonly dataCentre: string
}

/** How the log stands, for operators. */
export interface LogDescription {
  readonly term: number
  readonly commitIndex: number
  /** Absent where there is no snapshot. */
  readonly snapshotAgeMs?: number | undefined
  readonly members: readonly MemberView[]
}

export abstract class ReplicatedLog {
  /** The present value at once, then each change. */
  abstract readonly leadership: Observable<Leadership>

  /**
   * Resolves once the command is committed and applied here; a command that the state refused resolves
   * too, with its refusal. Errors: `not-leader`, `no-quorum` and `disk-full` where it is certain that the
   * command never takes effect, `outcome-unknown` and `storage-failed` where it may.
   */
  abstract propose(command: Command): EitherAsync<NettlespurError, CommandResult>

  /**
   * Resolves once the local state holds everything that was committed before the call. Errors:
   * `not-leader`, `no-quorum`.
   */
  abstract readBarrier(): EitherAsync<NettlespurError, void>

  abstract describe(): LogDescription

  /** Adds a member that counts once it has caught up. Errors: `membership-refused`, `not-leader`, `outcome-unknown`. */
  addMember({ memberId }: LogMember): EitherAsync<NettlespurError, void> {
    return refuseMembershipChange(memberId)
  }

  /** Errors: as `addMember`, and `unknown-member`. */
  removeMember(memberId: string): EitherAsync<NettlespurError, void> {
    return refuseMembershipChange(memberId)
  }

  /** Before a planned stop: gives the leadership, where it is held, to another member. Never rejects. */
  transferLeadership(): Promise<void> {
    return Promise.resolve()
  }

  /** Gives an answer to each waiting call, then closes. */
  abstract stop(): Promise<void>
}

function refuseMembershipChange(memberId: string): EitherAsync<NettlespurError, never> {
  const reason = `${memberId}: the members of this log are fixed`
  return EitherAsync.liftEither(Left(new NettlespurError('membership-refused', reason)))
}
