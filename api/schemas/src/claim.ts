/**
 * The claim of a request that must not run twice: committed before the request leaves for its target, and
 * kept with its outcome, so that a resend of the key finds both.
 */
import { z } from 'zod'
import {
  addressSchema,
  byteCountSchema,
  countSchema,
  durationMsSchema,
  idempotencyKeySchema,
  identifierSchema,
} from './fields.js'
import { fenceSchema } from './task.js'

const sha256Pattern = /^[0-9a-f]{64}$/

/** Bytes of one answer kept with its claim; a longer one is collected from its upstream. */
export const claimAnswerBytesMax = 16_384

/** The one task that may run the request now. */
export const claimTargetSchema = z.object({
  upstreamId: identifierSchema,
  address: addressSchema,
  /** Which start of the upstream was meant; absent where it does not tell its starts apart. */
  session: z.string().optional(),
  taskId: z.string().min(1),
  attempt: z.int().positive(),
})
export type ClaimTarget = z.infer<typeof claimTargetSchema>

export const claimAnswerSchema = z.object({
  kind: z.literal('answered'),
  status: z.int(),
  contentType: z.string().optional(),
  bodyBytes: byteCountSchema,
  /** Absent where the answer is too large to keep: it is then collected from the target. */
  bodyBase64: z.base64().optional(),
})
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>

/** `not-run`: confirmed. `failed`: it ran and left no answer. `unknown`: to be learned, if it can be. */
export const claimOutcomeSchema = z.discriminatedUnion('kind', [
  claimAnswerSchema,
  z.object({ kind: z.literal('not-run'), reason: z.string() }),
  z.object({ kind: z.literal('failed'), reason: z.string() }),
  z.object({ kind: z.literal('unknown'), reason: z.string() }),
])
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>

const claimKeySchema = z.object({ workspace: identifierSchema, key: idempotencyKeySchema })
export type ClaimKey = z.infer<typeof claimKeySchema>

export const claimSchema = claimKeySchema.extend({
  bodySha256: z.string().regex(sha256Pattern),
  entryId: identifierSchema,
  target: claimTargetSchema,
  /** Rises with each change of who may act on the claim: the log index of that change. */
  fence: fenceSchema,
  changedAt: z.iso.datetime(),
  /** After this time it is resolved even where its entry lives. */
  resolveFrom: z.iso.datetime(),
  /** Absent while its entry runs it. */
  outcome: claimOutcomeSchema.optional(),
})
export type Claim = z.infer<typeof claimSchema>

/**
 * `open`: commits to a target unless the key is claimed already. `move`: goes to another target after the
 * former one is known never to run it. `settle`: records an outcome. The last two apply only at `fence`.
 */
export const claimChangeSchema = z.discriminatedUnion('type', [
  claimSchema.pick({ workspace: true, key: true, bodySha256: true, entryId: true }).extend({
    type: z.literal('open'),
    target: claimTargetSchema,
    /** Until the request's deadline. */
    remainingMs: durationMsSchema,
  }),
  claimKeySchema.extend({
    type: z.literal('move'),
    fence: fenceSchema,
    entryId: identifierSchema,
    target: claimTargetSchema,
  }),
  claimKeySchema.extend({
    type: z.literal('settle'),
    fence: fenceSchema,
    outcome: claimOutcomeSchema,
  }),
])
export type ClaimChange = z.infer<typeof claimChangeSchema>

/** Looks a claim up, waiting up to `waitMs` for its outcome to be known. */
export const claimQuerySchema = claimKeySchema.extend({ waitMs: countSchema })
export type ClaimQuery = z.infer<typeof claimQuerySchema>
