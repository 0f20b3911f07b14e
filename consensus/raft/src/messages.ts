/**
 * What members send each other. Every answer carries the term and the disk of who gives it. A message with a field that
 * this version does not know is refused: without it, it would say something else.
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
  /** Only asks whether a vote would be given; nobody's term changes. */
  preVote: z.boolean(),
  /** The leader itself asked for this election. */
  transfer: z.boolean(),
})
export type VoteRequest = z.infer<typeof voteRequestSchema>

export const voteAnswerSchema = z.strictObject({ ...answerShape, granted: z.boolean() })
export type VoteAnswer = z.infer<typeof voteAnswerSchema>

export const sentEntrySchema = z.strictObject({ term: countSchema, payload: bytesSchema })

/** Entries that follow `prevIndex`; none of them is a heartbeat. */
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
  /** Accepted: the last index known to equal the leader's, synced. Refused: where the logs may still be equal. */
  matchIndex: countSchema,
})
export type AppendAnswer = z.infer<typeof appendAnswerSchema>

/** One piece of a snapshot. */
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
  /** The bytes held so far: where the next piece begins. */
  nextOffset: countSchema,
  /** The state now stands at the snapshot or after it. */
  installed: z.boolean(),
})
export type InstallAnswer = z.infer<typeof installAnswerSchema>

export const timeoutNowRequestSchema = z.strictObject({
  term: countSchema,
  leaderId: identifierSchema,
})
export type TimeoutNowRequest = z.infer<typeof timeoutNowRequestSchema>
