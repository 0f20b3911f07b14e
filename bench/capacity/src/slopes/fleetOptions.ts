/** What a fleet of stand-in upstreams is started with. */
import { z } from 'zod'

export const fleetOptionsSchema = z.object({
  /** Begins each upstream's id. */
  prefix: z.string(),
  count: z.int().nonnegative(),
  /** Caller sides of the entries. */
  entries: z.array(z.string()).min(1),
  key: z.string(),
})
export type FleetOptions = z.infer<typeof fleetOptionsSchema>
