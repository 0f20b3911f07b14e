/** Evacuation of a data centre: while it is in force, nothing starts on the upstreams there, and what runs goes on. */
import { z } from 'zod'

const revisionSchema = z.int().nonnegative()

export const evacuationSchema = z.strictObject({
  dataCentre: z.string(),
  isInForce: z.boolean(),
  /** How many orders for it were accepted, those to leave it as it is included. */
  revision: revisionSchema,
})
export type Evacuation = z.infer<typeof evacuationSchema>

export const evacuationChangeSchema = z.strictObject({
  dataCentre: z.string(),
  isInForce: z.boolean(),
  /** The revision at the time of the request. A copy of it that comes late must not undo a later change. */
  expectedRevision: revisionSchema,
})
export type EvacuationChange = z.infer<typeof evacuationChangeSchema>
