/** Settings of `nettlespur-entry`. */
import { addressSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { controlAddressesSchema, instanceSettingsSchema } from './commonSettings.js'

const entryLimitsSchema = z.strictObject({
  bodyBytesMax: z.int().positive().default(1_048_576),
  headerBytesMax: z.int().positive().default(16_384),
  answerBytesMax: z.int().positive().default(67_108_864),
  /** Open connections to one upstream. */
  connectionsPerUpstream: z.int().positive().default(8),
})

const entryTimingsSchema = z.strictObject({
  /** How long one look for changes waits at control. */
  watchWaitMs: z.int().positive().default(1000),
  controlCallMs: z.int().positive().default(3000),
  /** When upstreams are asked to announce themselves again. */
  announceEveryMs: z.int().positive().default(1000),
  /** Deadline of a request that names none. */
  requestDeadlineMs: z.int().positive().default(30_000),
  /** How long new work is still taken after readiness has turned, so that the balancer notices. */
  unreadyNoticeMs: z.int().nonnegative().default(1000),
  /** A connection silent for this long carries no request that must not run twice. */
  connectionProvenMs: z.int().positive().default(2000),
})

export const entrySettingsSchema = instanceSettingsSchema.extend({
  /** Where callers, operators and upstreams reach this entry. */
  listenAddress: addressSchema,
  /** Where other entries reach it. */
  peerAddress: addressSchema,
  control: controlAddressesSchema,
  /** False only for trials on one machine: then no caller, operator or upstream needs a key. */
  keysRequired: z.boolean().default(true),
  keyFiles: z.strictObject({
    peers: z.string(),
    operators: z.string().optional(),
    /** Accepted from upstreams and sent to them. */
    upstreams: z.string().optional(),
  }),
  limits: entryLimitsSchema.prefault({}),
  timings: entryTimingsSchema.prefault({}),
})
export type EntrySettings = z.infer<typeof entrySettingsSchema>
