/** The messages between the leader and its relays. */
import { addressSchema } from '@nettlespur/api.schemas'
import { runRefSchema } from '@nettlespur/batch.model'
import { z } from 'zod'

const targetSchema = z.object({
  upstreamId: z.string(),
  announcedId: z.string().optional(),
  address: addressSchema,
})

const startOrderSchema = z.object({
  type: z.literal('start'),
  run: runRefSchema,
  payload: z.string(),
  checkpoint: z.string(),
  leaseEndMs: z.number(),
  fence: z.number(),
})
const stopOrderSchema = z.object({
  type: z.literal('stop'),
  run: runRefSchema,
  fence: z.number(),
})
const holdOrderSchema = z.object({
  type: z.literal('hold'),
  leaseEndMs: z.number().optional(),
  fence: z.number(),
  cursor: z.number(),
  waitMs: z.number(),
})

export const relayedOrderSchema = z.discriminatedUnion('type', [
  startOrderSchema,
  stopOrderSchema,
  holdOrderSchema,
])
export type RelayedOrder = z.infer<typeof relayedOrderSchema>

const clockReadingSchema = z.object({ monotonicMs: z.number(), wallMs: z.number() })
/** Both clocks of a relay: neither by itself shows every time in which the relay stood still. */
export type RelayClockReading = z.infer<typeof clockReadingSchema>

export const relayedCallSchema = z.object({
  /** Unique within the term. */
  callId: z.number(),
  to: targetSchema,
  order: relayedOrderSchema,
  timeoutMs: z.number(),
  /** The order is not sent once either clock of the relay has passed this. */
  sendBy: clockReadingSchema,
})
export type RelayedCall = z.infer<typeof relayedCallSchema>

/** In each message to a relay. */
const leaderHeader = z.object({
  term: z.number(),
  /** The process of the relay that is meant; empty as long as the leader does not know it. */
  relayId: z.string(),
  /** Peer addresses of the members that serve upstreams now; empty if the leader uses no relays. */
  servingAddresses: z.array(addressSchema),
})
export type LeaderHeader = z.infer<typeof leaderHeader>

export const orderBatchSchema = leaderHeader.extend({ calls: z.array(relayedCallSchema) })
export type OrderBatch = z.infer<typeof orderBatchSchema>

export const answerRequestSchema = leaderHeader.extend({
  waitMs: z.number(),
  /** How long the first outcome waits for others that it can be sent with. */
  batchMs: z.number(),
})
export type AnswerRequest = z.infer<typeof answerRequestSchema>

const receiptSchema = z.object({
  /** Another one after each start of the relay's process. */
  relayId: z.string(),
  clock: clockReadingSchema,
  /** False if the relay has seen a higher term: it sends no orders of this one. */
  acceptsTerm: z.boolean(),
})
const clockMs = z.number().optional()
const startAnswerSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('started'), clockMs }),
  z.object({
    type: z.literal('refused'),
    reason: z.enum(['fence', 'superseded', 'lease-over', 'no-room', 'unhealthy', 'invalid']),
    clockMs,
  }),
  z.object({ type: z.literal('gone'), clockMs }),
])
const stopAnswerSchema = z.object({ type: z.enum(['stopping', 'fence', 'gone']), clockMs })
const runningRunSchema = z.object({
  run: runRefSchema,
  checkpoint: z.string(),
  progressPercent: z.number(),
})
const finishedRunSchema = z.object({
  number: z.number(),
  run: runRefSchema,
  outcome: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: z.string(),
})
const holdAnswerSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('held'),
    running: z.array(runningRunSchema),
    finished: z.array(finishedRunSchema),
    unreadRows: z.number(),
    clockMs,
  }),
  z.object({ type: z.literal('fence'), clockMs }),
  z.object({ type: z.literal('gone'), successorId: z.string().optional(), clockMs }),
])

/** What came of one call, by the type of its order. */
export const callOutcomeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('start'), answer: startAnswerSchema }),
  z.object({ type: z.literal('stop'), answer: stopAnswerSchema }),
  z.object({ type: z.literal('hold'), answer: holdAnswerSchema }),
  z.object({
    type: z.literal('failed'),
    kind: z.enum(['unreachable', 'outcome-unknown']),
    reason: z.string(),
  }),
])
export type CallOutcome = z.infer<typeof callOutcomeSchema>

const unreadOutcome: CallOutcome = {
  type: 'failed',
  kind: 'outcome-unknown',
  reason: 'the outcome could not be read',
}

/** Outcomes in one message: lists of running runs are the largest, a few kilobytes each. */
export const outcomesMax = 256

export const relayAnswersSchema = receiptSchema.extend({
  // An outcome that cannot be read must not lose the others.
  outcomes: z.array(
    z.object({ callId: z.number(), outcome: callOutcomeSchema.catch(unreadOutcome) }),
  ),
})
export type RelayAnswers = z.infer<typeof relayAnswersSchema>

/** The answer to a batch of orders. It brings the outcomes that are there. */
export const relayReceiptSchema = relayAnswersSchema.extend({
  /** Calls that the relay has not sent and will not send. */
  refusedCallIds: z.array(z.number()),
})
export type RelayReceipt = z.infer<typeof relayReceiptSchema>
