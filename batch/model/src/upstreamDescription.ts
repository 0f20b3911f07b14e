/**
 * An upstream as it describes itself. `upstreamId` belongs to one process from its start to its end, so that nothing
 * known of a process applies to the next one at its address.
 */
import { addressSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { resourcesSchema } from './jobRequest.js'

export const upstreamDescriptionSchema = z.strictObject({
  upstreamId: z.string(),
  /** The id that the process announces, if a later process may have it too; otherwise absent. See `createProcessId`. */
  announcedId: z.string().optional(),
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
  /** Set while the upstream drains: it stays at least this long. */
  drainRemainingMs: z.number().nonnegative().optional(),
  /** How much longer it is slow after its start; absent once it is warm. */
  coldRemainingMs: z.number().nonnegative().optional(),
  /** Increases with each announcement, so that delayed ones can be detected. */
  sequence: z.number(),
  /** The upstream's monotonic clock at the announcement. */
  clockMs: z.number(),
})
export type Announcement = z.infer<typeof announcementSchema>

/** Returns the part of an announcement that is committed to the replicated state. */
export function toDescription(announcement: Announcement): UpstreamDescription {
  const { upstreamId, announcedId, pool, address, dataCentre, rack, labels, capacity } =
    announcement
  const ids = announcedId === undefined ? { upstreamId } : { upstreamId, announcedId }
  return { ...ids, pool, address, dataCentre, rack, labels, capacity }
}
