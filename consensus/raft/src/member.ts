/**
 * Who takes part in agreement. Voters count for elections and commits; every other member is a learner,
 * which only receives the log.
 */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const memberSchema = z.strictObject({
  memberId: identifierSchema,
  peerAddress: addressSchema,
  dataCentre: identifierSchema,
  /** The disk this member counts with; absent until it is learned. */
  diskId: z.string().optional(),
})
export type Member = z.infer<typeof memberSchema>

export const membershipSchema = z.strictObject({
  members: z.array(memberSchema),
  voters: z.array(identifierSchema),
  /** The former voters while a change is under way: both majorities count. */
  outgoing: z.array(identifierSchema).optional(),
  /** Members that are gone once the change is done. */
  removing: z.array(identifierSchema).optional(),
})
export type Membership = z.infer<typeof membershipSchema>

export function findMember(membership: Membership, memberId: string): Member | undefined {
  return membership.members.find((member) => member.memberId === memberId)
}

/** Whether the member's vote counts, in the present or the former voters. */
export function isVoter({ voters, outgoing }: Membership, memberId: string): boolean {
  return voters.includes(memberId) || outgoing?.includes(memberId) === true
}

/** A member on another disk than the known one has lost what it promised, so it does not count. */
export function acceptsDisk(
  membership: Membership,
  memberId: string,
  diskId: string | undefined,
): boolean {
  const known = findMember(membership, memberId)?.diskId
  return known === undefined || known === diskId
}

/**
 * Whether the member votes before and after any change that is under way. One that is about to become a
 * voter makes no loss good yet: until the change is done the former voters have to agree as well.
 */
export function isVoterInBothSets({ voters, outgoing }: Membership, memberId: string): boolean {
  return voters.includes(memberId) && (outgoing ?? voters).includes(memberId)
}
