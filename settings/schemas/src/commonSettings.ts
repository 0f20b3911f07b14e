/** Settings that every process has. Paths are taken from the folder of the settings file. */
import { addressSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const logSettingsSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
})

/** Certificate and key in PEM files. The other side proves itself by its bearer key. */
export const tlsSettingsSchema = z.strictObject({
  certFile: z.string(),
  keyFile: z.string(),
})
export type TlsSettings = z.infer<typeof tlsSettingsSchema>

/** Where the control instances' peer sides listen. */
export const controlAddressesSchema = z.array(addressSchema).min(1).max(16)

export const instanceSettingsSchema = z.strictObject({
  instanceId: identifierSchema,
  dataCentre: identifierSchema,
  log: logSettingsSchema.prefault({}),
  /** How long a planned stop may take. */
  drainDeadlineMs: z.int().positive().default(30_000),
  /** Certificate of the listening sides. */
  tls: tlsSettingsSchema.optional(),
  /** Authority that signed the certificates of the other processes of the cluster. */
  peerCaFile: z.string().optional(),
})
