/** What a leader has learned of the speed of one upstream, so that the next leader need not learn it again. */
import { z } from 'zod'

export const upstreamSpeedSchema = z.strictObject({
  upstreamId: z.string(),
  /** Speed 1 is the usual speed. */
  mean: z.number().positive(),
  /** Standard deviation of the natural logarithm of the speed: the smaller, the more certain. */
  logSpread: z.number().positive(),
})
export type UpstreamSpeed = z.infer<typeof upstreamSpeedSchema>
