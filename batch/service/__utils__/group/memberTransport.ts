/** The Raft transport of one process over the in-memory links. */
import {
  RaftTransport,
  type AppendAnswer,
  type AppendRequest,
  type InstallAnswer,
  type InstallRequest,
  type Member,
  type TimeoutNowRequest,
  type VoteAnswer,
  type VoteRequest,
} from '@nettlespur/consensus.raft'
import type { MemberProcess, MemberLinks } from './memberLinks.js'

export class MemberTransport extends RaftTransport {
  override readonly payloadBytesMax = Infinity
  readonly #links: MemberLinks
  readonly #from: MemberProcess

  constructor(links: MemberLinks, from: MemberProcess) {
    super()
    this.#links = links
    this.#from = from
  }

  override requestVote(to: Member, request: VoteRequest): Promise<VoteAnswer> {
    return this.#links.call(this.#from, to.memberId, ({ raft }) => raft.handleVote(request))
  }

  override appendEntries(to: Member, request: AppendRequest): Promise<AppendAnswer> {
    return this.#links.call(this.#from, to.memberId, ({ raft }) => raft.handleAppend(request))
  }

  override installSnapshot(to: Member, request: InstallRequest): Promise<InstallAnswer> {
    return this.#links.call(this.#from, to.memberId, ({ raft }) => raft.handleInstall(request))
  }

  override timeoutNow(to: Member, request: TimeoutNowRequest): Promise<void> {
    return this.#links.call(this.#from, to.memberId, ({ raft }) => raft.handleTimeoutNow(request))
  }
}
