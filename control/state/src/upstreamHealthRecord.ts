/** What the replicated state keeps of the health of one upstream. */
import { z } from 'zod'

const quarantineSchema = z.object({
  since: z.iso.datetime(),
  /** The upstream is not probed before this time. */
  probeAt: z.iso.datetime(),
  pauseMs: z.int().positive(),
  /** Number of gangs the upstream may hold at once from `probeAt` on. */
  admittedGangs: z.int().positive(),
  /** True once a probe has failed or succeeded. From then on, removing marks no longer ends the quarantine. */
  probed: z.boolean(),
})
export type Quarantine = z.infer<typeof quarantineSchema>

export const upstreamHealthSchema = z.object({
  /** Jobs whose failures mark the upstream. */
  markedBy: z.array(z.string()),
  quarantine: quarantineSchema.optional(),
})
export type UpstreamHealth = z.infer<typeof upstreamHealthSchema>
