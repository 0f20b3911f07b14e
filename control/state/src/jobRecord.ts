/** A job in the replicated state. Records are immutable: a change replaces the record. */
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
  /** Number of attempts that were started and are known to have failed or to be lost. */
  failedAttempts: countSchema,
  submittedAt: z.iso.datetime(),
  startedAt: z.iso.datetime().optional(),
  endedAt: z.iso.datetime().optional(),
  /** The job is not placed before this time. */
  retryAt: z.iso.datetime().optional(),
  /** Kept until every member is known to be stopped; until then its accelerators count as in use. */
  placement: placementSchema.optional(),
  /** True once a start request of the current placement may have been sent. */
  startCommitted: z.boolean(),
  cancelRequested: z.boolean(),
  /** Set from the preemption until the gang is queued again, or the preemption or the job is cancelled. */
  preemption: preemptionSchema.optional(),
  /** The newest checkpoint of the whole gang; the next attempt resumes from it. */
  checkpointId: z.string().optional(),
  /** Upstreams on which a task of this job failed on its own, without duplicates. */
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
