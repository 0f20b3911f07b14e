/** Handles vote requests. A vote is written to disk before it is answered. */
import { acceptsDisk, findMember } from './member.js'
import type { VoteAnswer, VoteRequest } from './messages.js'
import type { Replica } from './replica.js'

export function handleVoteRequest<R>(
  replica: Replica<R>,
  request: VoteRequest,
): Promise<VoteAnswer> {
  return replica.exclusive(async () => {
    const granted = canConsiderVote(replica, request) && (await castVote(replica, request))
    return { term: replica.term, diskId: replica.diskId, granted }
  })
}

/**
 * Whether the request is considered at all; otherwise it is refused without adopting the candidate's term. A member
 * that leads or has recently heard a leader refuses, except in a leadership transfer. A candidate on another disk than
 * its recorded one is refused, as it has lost entries it had acknowledged.
 */
function canConsiderVote<R>(replica: Replica<R>, request: VoteRequest): boolean {
  const { membership } = replica
  const { candidateId, diskId } = request
  if (findMember(membership, candidateId) !== undefined) {
    if (!acceptsDisk(membership, candidateId, diskId)) return false
  }
  return request.transfer || !replica.shouldRefuseVotes
}

async function castVote<R>(replica: Replica<R>, request: VoteRequest): Promise<boolean> {
  const { term, candidateId, preVote } = request
  const upToDate = isUpToDate(replica, request)
  if (preVote) return term > replica.term && upToDate
  if (term < replica.term) return false
  if (term > replica.term) {
    await replica.adoptTerm(term, upToDate ? candidateId : undefined)
  }
  const { votedFor } = replica.opts.store.hardState
  if (!upToDate || (votedFor ?? candidateId) !== candidateId) return false
  if (votedFor === undefined) {
    await replica.opts.store.saveHardState({ term, votedFor: candidateId })
  }
  replica.electionResetMs = replica.clock.monotonicMs()
  return true
}

function isUpToDate<R>({ log }: Replica<R>, { lastTerm, lastIndex }: VoteRequest): boolean {
  if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm
  return lastIndex >= log.lastIndex
}
