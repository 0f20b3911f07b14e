/** A job as the replicated state holds it. Records are replaced, never changed in place. */
import {
  countSchema,
  decisionSchema,
  jobRequestSchema,
  jobStateSchema,
  placementSchema,
  type JobView,
} from '@nettlespur/api.schemas'
import { z } from 'zod'

const preemptionSchema = z.object({
  forJobId: z.string().optional(),
  withCheckpoint: z.boolean(),
  reason: z.string(),
})

export const jobRecordSchema = z.object({
  jobId: z.string(),
  /** The payload is dropped once the job has ended. */
  request: jobRequestSchema,
  state: jobStateSchema,
  reason: z.string(),
  attempts: countSchema,
  /** Started attempts that did not finish. */
  failedAttempts: countSchema,
  submittedAt: z.iso.datetime(),
  startedAt: z.iso.datetime().optional(),
  endedAt: z.iso.datetime().optional(),
  /** Not placed before this time. */
  retryAt: z.iso.datetime().optional(),
  /** Held until every member is known to be stopped. */
  placement: placementSchema.optional(),
  /** True once a start of the present placement may have left. */
  startCommitted: z.boolean(),
  cancelRequested: z.boolean(),
  /** Set while the gang is stopped for another job; it is queued again after that. */
  preemption: preemptionSchema.optional(),
  /** The newest checkpoint of the whole gang; the next attempt goes on from it. */
  checkpointId: z.string().optional(),
  /** Where its tasks failed by themselves, each once. */
  failedUpstreamIds: z.array(z.string()).default([]),
  decisions: z.array(decisionSchema),
})
export type JobRecord = z.infer<typeof jobRecordSchema>

export function toJobView(job: JobRecord): JobView {
  return {
    jobId: job.jobId,
    workspace: job.request.workspace,
    state: job.state,
    reason: job.reason,
    gang: job.request.gang,
    attempts: job.attempts,
    submittedAt: job.submittedAt,
    startedAt: job.startedAt,
    endedAt: job.endedAt,
    placement: job.placement,
  }
}
