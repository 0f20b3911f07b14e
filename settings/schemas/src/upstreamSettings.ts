/** Settings of the stand-in upstream, a small worker for trials and tests. */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { logSettingsSchema } from './commonSettings.js'

export const upstreamSettingsSchema = z.strictObject({
  upstreamId: identifierSchema,
  dataCentre: identifierSchema,
  rack: identifierSchema,
  listenAddress: addressSchema,
  /** Caller sides of the entries it announces itself to, tried in turn. */
  entries: z.array(addressSchema).min(1),
  slots: z.int().nonnegative().default(8),
  cpuCores: z.number().positive().default(32),
  memoryBytes: z.int().positive().default(137_438_953_472),
  accelerators: z.int().nonnegative().default(8),
  keyFile: z.string().optional(),
  log: logSettingsSchema.prefault({}),
})
export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>
