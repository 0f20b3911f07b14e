/** The form in which the batch state is stored and sent to members that lag behind. */
import { clusterConfigSchema } from '@nettlespur/batch.model'
import { evacuationSchema } from '@nettlespur/core.evacuations'
import { z } from 'zod'
import { jobRecordSchema, upstreamRecordSchema } from './records.js'
import { upstreamSpeedSchema } from './upstreamSpeed.js'

/** Rejects unknown fields, as all stored schemas do: dropping a field of a newer version would lose its effect. */
export const batchSnapshotSchema = z.strictObject({
  config: clusterConfigSchema.optional(),
  jobs: z.array(jobRecordSchema),
  upstreams: z.array(upstreamRecordSchema),
  acceptedJobs: z.int().nonnegative(),
  /** Absent if no data centre was ever evacuated, so that earlier versions can read the snapshot. */
  evacuations: z.array(evacuationSchema).optional(),
  /** Absent if no speed was ever noted, so that earlier versions can read the snapshot. */
  speeds: z.array(upstreamSpeedSchema).optional(),
})
export type BatchSnapshot = z.infer<typeof batchSnapshotSchema>
