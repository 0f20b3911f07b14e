/** What Raft stores with a snapshot of the state machine: the membership, and when the snapshot was taken. */
import { z } from 'zod'
import { membershipSchema } from './member.js'

export const snapshotMembershipSchema = z.strictObject({
  membership: membershipSchema,
  takenAt: z.iso.datetime(),
})
export type SnapshotMembership = z.infer<typeof snapshotMembershipSchema>
