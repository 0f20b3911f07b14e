/**
 * Requests votes from the voters. A vote counts only if it comes from the disk that the membership records. A candidate
 * with an empty log needs every vote: an empty log may mean a new cluster or lost disks, and a voter that holds entries
 * refuses.
 */
import { waitFor } from '@nettlespur/core.clock'
import { BehaviorSubject } from 'rxjs'
import { acceptsDisk, isVoter, type Member } from './member.js'
import type { VoteAnswer, VoteRequest } from './messages.js'
import { hasQuorum } from './quorum.js'
import type { Replica } from './replica.js'

/**
 * Returns the disk ID of each member that granted its vote, by member ID. Returns undefined if too few did within an
 * election timeout.
 */
export async function pollVoters<R>(
  replica: Replica<R>,
  request: VoteRequest,
  signal: AbortSignal,
): Promise<ReadonlyMap<string, string> | undefined> {
  const { membership } = replica
  const agreed = new Map([[replica.memberId, replica.diskId]])
  const others = membership.members.filter(
    ({ memberId }) => memberId !== replica.memberId && isVoter(membership, memberId),
  )
  const asked = new BehaviorSubject({ answered: 0, agreed })
  const isElected = (): boolean =>
    request.lastIndex === 0
      ? membership.voters.every((memberId) => agreed.has(memberId))
      : hasQuorum(membership, (memberId) => agreed.has(memberId))
  const ask = async (member: Member): Promise<void> => {
    const answer = await askVoter(replica, member, request)
    if (answer?.granted === true && acceptsDisk(membership, member.memberId, answer.diskId)) {
      agreed.set(member.memberId, answer.diskId)
    }
    asked.next({ answered: asked.value.answered + 1, agreed })
  }
  for (const member of others) void ask(member)
  await waitFor(replica.clock, asked, ({ answered }) => answered === others.length || isElected(), {
    timeoutMs: replica.opts.timings.electionTimeoutMs,
    signal,
  })
  return isElected() ? agreed : undefined
}

async function askVoter<R>(
  replica: Replica<R>,
  member: Member,
  request: VoteRequest,
): Promise<VoteAnswer | undefined> {
  try {
    const answer = await replica.opts.transport.requestVote(member, request)
    await replica.noticeTerm(answer.term)
    return answer
  } catch {
    return undefined
  }
}
