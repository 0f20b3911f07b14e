/**
 * Sends messages to other members. A call that gets no answer must reject early enough for another call to be made
 * within the same election timeout, and that call must not use the unresponsive connection.
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
  /** Longest payload of one entry that an append request can carry, in bytes. */
  abstract readonly payloadBytesMax: number
  abstract requestVote(to: Member, request: VoteRequest): Promise<VoteAnswer>
  abstract appendEntries(to: Member, request: AppendRequest): Promise<AppendAnswer>
  abstract installSnapshot(to: Member, request: InstallRequest): Promise<InstallAnswer>
  abstract timeoutNow(to: Member, request: TimeoutNowRequest): Promise<void>
}
