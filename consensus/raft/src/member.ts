/**
 * The members of the Raft group. Voters count for elections and commits; every other member is a learner, which only
 * receives the log.
 */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const memberSchema = z.strictObject({
  memberId: identifierSchema,
  peerAddress: addressSchema,
  dataCentre: identifierSchema,
  /** ID of the disk that this member's votes and answers must come from; absent until the leader has learned it. */
  diskId: z.string().optional(),
})
export type Member = z.infer<typeof memberSchema>

export const membershipSchema = z.strictObject({
  members: z.array(memberSchema),
  voters: z.array(identifierSchema),
  /** The old voters during joint consensus, which needs a majority of both the old and the new voters. */
  outgoing: z.array(identifierSchema).optional(),
  /** Members that are removed when joint consensus ends. */
  removing: z.array(identifierSchema).optional(),
})
export type Membership = z.infer<typeof membershipSchema>

export function findMember(membership: Membership, memberId: string): Member | undefined {
  return membership.members.find((member) => member.memberId === memberId)
}

/** Whether the member is among the new or, during joint consensus, the old voters. */
export function isVoter({ voters, outgoing }: Membership, memberId: string): boolean {
  return voters.includes(memberId) || outgoing?.includes(memberId) === true
}

/**
 * Whether `diskId` is the member's recorded disk, or none is recorded. On any other disk the member has lost its votes
 * and acknowledged entries, so its answers must not count.
 */
export function acceptsDisk(
  membership: Membership,
  memberId: string,
  diskId: string | undefined,
): boolean {
  const known = findMember(membership, memberId)?.diskId
  return known === undefined || known === diskId
}

/**
 * Whether the member is in both the old and the new set of voters. During joint consensus a new voter does not make up
 * for the loss of an old one yet, as a majority of the old voters is still needed.
 */
export function isVoterInBothSets({ voters, outgoing }: Membership, memberId: string): boolean {
  return voters.includes(memberId) && (outgoing ?? voters).includes(memberId)
}
