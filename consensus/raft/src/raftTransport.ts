/**
 * Carries messages to one member at a time. A call without an answer rejects early enough for another one
 * before an election timeout has passed, and is not made again on the connection that kept silent.
 */
import type { Member } from './member.js'
import type {
  AppendAnswer,
  AppendRequest,
  InstallAnswer,
  InstallRequest,
  TimeoutNowRequest,
  VoteAnswer,
  VoteRequest,
} from './messages.js'

export abstract class RaftTransport {
  abstract requestVote(to: Member, request: VoteRequest): Promise<VoteAnswer>
  abstract appendEntries(to: Member, request: AppendRequest): Promise<AppendAnswer>
  abstract installSnapshot(to: Member, request: InstallRequest): Promise<InstallAnswer>
  abstract timeoutNow(to: Member, request: TimeoutNowRequest): Promise<void>
}
