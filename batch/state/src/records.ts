/** Records of jobs and upstreams in the batch state. They are plain data, so that a snapshot is their JSON. */
import { countSchema } from '@nettlespur/api.schemas'
import {
  jobRequestSchema,
  queueConfigSchema,
  upstreamDescriptionSchema,
} from '@nettlespur/batch.model'
import { z } from 'zod'
import { crashRecordSchema } from './crashRecord.js'
import { upstreamLossSchema } from './upstreamLosses.js'

export const taskRecordSchema = z.strictObject({
  /** `placed`: committed to an upstream, which may be running it or may yet start it. */
  phase: z.enum(['waiting', 'placed', 'done']),
  /** Number of the last placed attempt; 0 before the first. */
  attempt: countSchema,
  /** Failed runs; not counted for gang members, see `gangFailures`. */
  failures: countSchema,
  /** Where it is placed; absent unless the phase is `placed`. */
  upstreamId: z.string().optional(),
  /** What the next run resumes from; empty if it starts from the beginning. */
  checkpoint: z.string(),
  /** Upstreams on which it has failed. */
  failedOn: z.array(z.string()),
  /** Crashes as earlier versions counted them, which took silent upstreams for crashed ones. Absent if there are none. */
  crashes: crashRecordSchema.optional(),
  /** Runs lost with their upstreams, in the order of their attempts. Absent if there are none. */
  losses: z.array(upstreamLossSchema).optional(),
})
export type TaskRecord = z.infer<typeof taskRecordSchema>

export const stepRecordSchema = z.strictObject({
  tasks: z.array(taskRecordSchema),
  /** Failed attempts of the gang as a whole. */
  gangFailures: countSchema,
  /** The latest failed attempt, so that several members failing in one attempt count once. */
  failedGangAttempt: countSchema,
  /** The latest attempt that has ended; members of it, or of an earlier one, that still run must be stopped. */
  endedGangAttempt: countSchema,
})
export type StepRecord = z.infer<typeof stepRecordSchema>

export const jobStatusSchema = z.enum(['active', 'completed', 'failed', 'cancelled'])
export type JobStatus = z.infer<typeof jobStatusSchema>

/** Why a job failed. */
export const jobFailureSchema = z.strictObject({
  reason: z.enum([
    /** A task or gang has failed `attemptsMax` times. */
    'attempts-used-up',
    /** A task or gang member is a poison task: upstreams certainly crash while it runs, again and again. */
    'crashes-upstreams',
  ]),
  step: countSchema,
  /** Index of the task; absent if a gang failed as a whole. */
  index: countSchema.optional(),
})
export type JobFailure = z.infer<typeof jobFailureSchema>

export const jobRecordSchema = z.strictObject({
  request: jobRequestSchema,
  workspace: z.string(),
  /** The queue as of submission, or as of the newest later configuration that still has it. */
  queue: queueConfigSchema,
  status: jobStatusSchema,
  /** Only set with status `failed`, and absent there if an earlier version failed the job. */
  failure: jobFailureSchema.optional(),
  /** Whether any task has ever been placed. That a task has begun is told by `hasBegunTask`. */
  hasStarted: z.boolean(),
  /**
   * Set if a task has begun that left no other trace in the record. Absent otherwise, so that earlier versions can read it.
   */
  hasBegun: z.literal(true).optional(),
  /** Sequence number of acceptance: orders jobs identically on every member. */
  number: countSchema,
  steps: z.array(stepRecordSchema),
})
export type JobRecord = z.infer<typeof jobRecordSchema>

export const upstreamRecordSchema = z.strictObject({
  description: upstreamDescriptionSchema,
  /** Sequence number of the announcement that the description comes from; absent if an earlier version recorded it. */
  sequence: z.number().optional(),
  /** Whether it accepts no new work. */
  isDraining: z.boolean(),
  /** Whether it has announced its shutdown: it gets no orders any more. */
  hasLeft: z.boolean(),
})
export type UpstreamRecord = z.infer<typeof upstreamRecordSchema>
