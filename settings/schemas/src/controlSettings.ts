/** Settings of `nettlespur-control`. */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { instanceSettingsSchema } from './commonSettings.js'

const controlTimingsSchema = z.strictObject({
  heartbeatMs: z.int().positive().default(250),
  electionTimeoutMs: z.int().positive().default(1500),
  /** How long an entry may enforce its contracts without hearing from control. */
  contractLeaseMs: z.int().positive().default(4000),
  /** How long an upstream holds a task without a renewal. */
  taskLeaseMs: z.int().positive().default(15_000),
  renewTasksEveryMs: z.int().positive().default(3000),
  /** Added to a lease's end before its accelerators are handed on. */
  clockDriftMarginMs: z.int().nonnegative().default(500),
  /** No announcement for this long makes an upstream suspect. */
  upstreamSuspectMs: z.int().positive().default(3000),
  /** No announcement for this long makes an upstream gone. */
  upstreamGoneMs: z.int().positive().default(10_000),
  /**
   * How long the key and outcome of a request that must not run twice are kept after the outcome is known. A
   * key sent again later counts as a new request.
   */
  claimLifetimeMs: z.int().positive().default(600_000),
  /** How long a task may take to stop after it is asked to. */
  stopGraceMs: z.int().nonnegative().default(2000),
})

export const controlSettingsSchema = instanceSettingsSchema.extend({
  /** Where entries and other control instances reach this one. */
  peerAddress: addressSchema,
  /** Health and metrics over HTTP. */
  statusAddress: addressSchema.optional(),
  dataFolder: z.string().min(1),
  /** The first voters; the same list on each instance. Later changes go through `nettlespur member`. */
  members: z
    .array(
      z.strictObject({
        memberId: identifierSchema,
        peerAddress: addressSchema,
        dataCentre: identifierSchema,
      }),
    )
    .min(1)
    .max(7),
  keyFiles: z.strictObject({
    peers: z.string(),
    /** Sent to upstreams; absent where they need none. */
    upstreams: z.string().optional(),
  }),
  /** What placement favours. */
  objective: z.enum(['completionTime', 'fragmentation']).default('completionTime'),
  timings: controlTimingsSchema.prefault({}),
})
export type ControlSettings = z.infer<typeof controlSettingsSchema>
export type ControlTimings = ControlSettings['timings']
