/** Settings of the two processes that run batch work over control. */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { logSettingsSchema } from './commonSettings.js'

const portSchema = z.int().min(1).max(65_535)

const batchSettingsSchema = z.strictObject({
  instanceId: identifierSchema,
  dataCentre: identifierSchema,
  log: logSettingsSchema.prefault({}),
  /** Control addresses of some members. Their peer sides listen on `peerPort` of the same instance. */
  seeds: z.array(addressSchema).max(16),
  /** Where control instances listen for each other and for entries. */
  peerPort: portSchema,
  /** Counters and histograms over HTTP, as text. */
  metricsAddress: addressSchema,
  /** How long a planned stop may take. */
  drainDeadlineMs: z.int().positive(),
})

export const batchEntrySettingsSchema = batchSettingsSchema.extend({
  /** Callers hand in jobs and ask for them here. */
  callerAddress: addressSchema,
  /** The balancer asks here whether callers may be sent. */
  readinessAddress: addressSchema,
})
export type BatchEntrySettings = z.infer<typeof batchEntrySettingsSchema>

export const batchControlSettingsSchema = batchSettingsSchema.extend({
  /** Operators and upstreams call here. */
  controlAddress: addressSchema,
  dataFolder: z.string().min(1),
  /** The whole system starts for the first time: the seeds found the group. */
  founds: z.boolean(),
  /** The data centres that operators may evacuate; those of the upstreams are known besides. */
  dataCentres: z.array(identifierSchema).default([]),
  /** How often upstreams announce themselves. */
  announceEveryMs: z.int().positive(),
  /** The longest lease that upstreams grant. */
  leaseMsMax: z.int().positive(),
  /** Has no effect; settings files of earlier versions hold it. */
  refusedConnections: z.enum(['gone', 'unknown']).optional(),
  /** From this number of upstreams on, other members carry the leader's calls and take announcements; else never. */
  relayFromUpstreams: z.int().positive().optional(),
  /** How long an ended job is still shown. */
  keepEndedMs: z.int().positive(),
  /** Guaranteed work has to start this long after its acceptance at the latest. Set it together with `stopMsMax`. */
  guaranteedStartMsMax: z.number().positive().optional(),
  /** The longest time that a stop takes: what urgent work is expected to claim within it is kept free of other work. */
  stopMsMax: z.number().nonnegative().optional(),
  /** Whether the leader learns how fast upstreams work, and places by it. Earlier builds cannot read what it commits. */
  upstreamSpeeds: z.enum(['learn', 'ignore']).optional(),
})
export type BatchControlSettings = z.infer<typeof batchControlSettingsSchema>
