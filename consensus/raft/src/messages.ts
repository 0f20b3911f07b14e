/**
 * The messages between members. Every answer carries the term and the disk ID of the member that answers. A message
 * with an unknown field is rejected, since ignoring the field could change what the message means.
 */
import { countSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

const bytesSchema = z.instanceof(Buffer)
const answerShape = { term: countSchema, diskId: z.string() }

export const voteRequestSchema = z.strictObject({
  term: countSchema,
  candidateId: identifierSchema,
  diskId: z.string(),
  lastIndex: countSchema,
  lastTerm: countSchema,
  /** A pre-vote: asks whether the vote would be granted, without changing any term. */
  preVote: z.boolean(),
  /** Whether the leader asked for this election, to transfer its leadership. */
  transfer: z.boolean(),
})
export type VoteRequest = z.infer<typeof voteRequestSchema>

export const voteAnswerSchema = z.strictObject({ ...answerShape, granted: z.boolean() })
export type VoteAnswer = z.infer<typeof voteAnswerSchema>

export const sentEntrySchema = z.strictObject({ term: countSchema, payload: bytesSchema })

/** Carries the entries after `prevIndex`; without entries it is a heartbeat. */
export const appendRequestSchema = z.strictObject({
  term: countSchema,
  leaderId: identifierSchema,
  prevIndex: countSchema,
  prevTerm: countSchema,
  commitIndex: countSchema,
  entries: z.array(sentEntrySchema),
})
export type AppendRequest = z.infer<typeof appendRequestSchema>

export const appendAnswerSchema = z.strictObject({
  ...answerShape,
  accepted: z.boolean(),
  /**
   * If accepted: the last index that matches the leader's log and is synced. If not: an index up to which it may
   * match.
   */
  matchIndex: countSchema,
})
export type AppendAnswer = z.infer<typeof appendAnswerSchema>

/** Carries one chunk of a snapshot. */
export const installRequestSchema = z.strictObject({
  term: countSchema,
  leaderId: identifierSchema,
  snapshotIndex: countSchema,
  snapshotTerm: countSchema,
  membership: z.unknown(),
  offset: countSchema,
  totalBytes: countSchema,
  data: bytesSchema,
})
export type InstallRequest = z.infer<typeof installRequestSchema>

export const installAnswerSchema = z.strictObject({
  ...answerShape,
  /** Number of bytes received so far, which is the offset of the next chunk. */
  nextOffset: countSchema,
  /** Whether the member holds the snapshot's state or a later one. */
  installed: z.boolean(),
})
export type InstallAnswer = z.infer<typeof installAnswerSchema>

export const timeoutNowRequestSchema = z.strictObject({
  term: countSchema,
  leaderId: identifierSchema,
})
export type TimeoutNowRequest = z.infer<typeof timeoutNowRequestSchema>
