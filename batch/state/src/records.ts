/** What the state holds of each job and upstream. Plain data, so that a snapshot is its JSON. */
import { countSchema } from '@nettlespur/api.schemas'
import {
  jobRequestSchema,
  queueConfigSchema,
  upstreamDescriptionSchema,
} from '@nettlespur/batch.model'
import { z } from 'zod'
import { crashRecordSchema } from './crashRecord.js'

export const taskRecordSchema = z.strictObject({
  /** `placed`: an upstream may be running it, or may still come to run it. */
  phase: z.enum(['waiting', 'placed', 'done']),
  /** The last attempt that was placed; 0 before the first. */
  attempt: countSchema,
  /** Runs that failed, outside gangs. */
  failures: countSchema,
  /** Where it is placed. */
  upstreamId: z.string().optional(),
  /** What the next run resumes from; empty where it begins anew. */
  checkpoint: z.string(),
  /** Upstreams on which it has failed. */
  failedOn: z.array(z.string()),
  /** Absent before the first crash. */
  crashes: crashRecordSchema.optional(),
})
export type TaskRecord = z.infer<typeof taskRecordSchema>

export const stepRecordSchema = z.strictObject({
  tasks: z.array(taskRecordSchema),
  /** Attempts of the whole gang that failed. */
  gangFailures: countSchema,
  /** The newest of them, so that members that fail together count once. */
  failedGangAttempt: countSchema,
  /** The last attempt of the gang that is over: what still runs of it is to be stopped. */
  endedGangAttempt: countSchema,
})
export type StepRecord = z.infer<typeof stepRecordSchema>

export const jobStatusSchema = z.enum(['active', 'completed', 'failed', 'cancelled'])
export type JobStatus = z.infer<typeof jobStatusSchema>

/** Why a job was given up. */
export const jobFailureSchema = z.strictObject({
  reason: z.enum([
    /** A task, or a gang, has failed as often as its queue allows. */
    'attempts-used-up',
    /** Upstreams crash under a task, or a gang. */
    'crashes-upstreams',
  ]),
  step: countSchema,
  /** The task; absent where a gang failed as a whole. */
  index: countSchema.optional(),
})
export type JobFailure = z.infer<typeof jobFailureSchema>

export const jobRecordSchema = z.strictObject({
  request: jobRequestSchema,
  workspace: z.string(),
  /** As it was when the job came, or as the newest configuration that still has it says. */
  queue: queueConfigSchema,
  status: jobStatusSchema,
  /** With status `failed`; absent where a former version gave the job up. */
  failure: jobFailureSchema.optional(),
  /** A task has been placed at least once. */
  hasStarted: z.boolean(),
  /** Counts accepted jobs, so that their order is the same everywhere. */
  number: countSchema,
  steps: z.array(stepRecordSchema),
})
export type JobRecord = z.infer<typeof jobRecordSchema>

export const upstreamRecordSchema = z.strictObject({
  description: upstreamDescriptionSchema,
  /** Of the announcement that the description comes from; absent where a former version noted it. */
  sequence: z.number().optional(),
  /** It takes no new work. */
  isDraining: z.boolean(),
  /** It has said that it ends: what it ran is over once it no longer answers. */
  hasLeft: z.boolean(),
})
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>
