/** What an upstream says of itself. One id is one life of the process: after a crash it has another. */
import { addressSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { resourcesSchema } from './jobRequest.js'

export const upstreamDescriptionSchema = z.strictObject({
  upstreamId: z.string(),
  pool: z.string(),
  address: addressSchema,
  dataCentre: z.string(),
  rack: z.string(),
  labels: z.array(z.string()),
  capacity: resourcesSchema,
})
export type UpstreamDescription = z.infer<typeof upstreamDescriptionSchema>

export const announcementSchema = upstreamDescriptionSchema.extend({
  isDraining: z.boolean(),
  /** While it drains: it stays at least this long. */
  drainRemainingMs: z.number().nonnegative().optional(),
  /** Rises with each announcement, so that a late one is told apart. */
  sequence: z.number(),
  /** Its steady clock when it announced. */
  clockMs: z.number(),
})
export type Announcement = z.infer<typeof announcementSchema>

/** The part of an announcement that is committed. */
export function toDescription(announcement: Announcement): UpstreamDescription {
  const { upstreamId, pool, address, dataCentre, rack, labels, capacity } = announcement
  return { upstreamId, pool, address, dataCentre, rack, labels, capacity }
}
