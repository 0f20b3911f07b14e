/** Gang jobs as callers submit and see them. */
import { z } from 'zod'
import { shapeSchema } from './contract.js'
import {
  byteCountSchema,
  countSchema,
  cpuCoresSchema,
  durationMsSchema,
  idempotencyKeySchema,
  identifierSchema,
} from './fields.js'

const longestPayload = 65_536

export const urgencySchema = z.enum(['normal', 'urgent'])
export type Urgency = z.infer<typeof urgencySchema>

/** What a caller asks for. `cpuCores` and `memoryBytes` are totals over the gang. */
export const jobRequestSchema = z.strictObject({
  workspace: identifierSchema,
  jobKey: idempotencyKeySchema.optional(),
  gang: shapeSchema,
  cpuCores: cpuCoresSchema,
  memoryBytes: byteCountSchema,
  expectedRunTimeMs: durationMsSchema,
  urgency: urgencySchema.default('normal'),
  /** False: the job is started at most once. */
  repeatable: z.boolean(),
  /** True: the job may be stopped after a checkpoint and resumed elsewhere. */
  checkpointable: z.boolean().default(false),
  payload: z.string().max(longestPayload).default(''),
})
export type JobRequest = z.infer<typeof jobRequestSchema>

export const jobStates = [
  'queued',
  'reserving',
  'running',
  'stopping',
  'finished',
  'failed',
  'cancelled',
  'unknown',
] as const
export const jobStateSchema = z.enum(jobStates)
/** `unknown`: a job that is not repeatable, or has no retries, was lost after its start, and its outcome can't be learned. */
export type JobState = z.infer<typeof jobStateSchema>

/** States after which nothing about the job changes. */
export const finalJobStates: ReadonlySet<JobState> = new Set([
  'finished',
  'failed',
  'cancelled',
  'unknown',
])

/** The part of a gang on one upstream. */
export const placementMemberSchema = z.object({
  taskId: z.string(),
  upstreamId: identifierSchema,
  address: z.string(),
  /** Absent if an earlier version placed the job. */
  dataCentre: identifierSchema.optional(),
  acceleratorIndexes: z.array(countSchema),
})
export type PlacementMember = z.infer<typeof placementMemberSchema>

/** Where one attempt of a job runs. The fence rises with each placement in the cluster. */
export const placementSchema = z.object({
  fence: z.int().positive(),
  attempt: z.int().positive(),
  members: z.array(placementMemberSchema).min(1),
})
export type Placement = z.infer<typeof placementSchema>

/** A job as callers see it. */
export const jobViewSchema = z.object({
  jobId: z.string(),
  workspace: identifierSchema,
  state: jobStateSchema,
  /** Why the job is in this state, in plain words. */
  reason: z.string(),
  gang: shapeSchema,
  attempts: countSchema,
  submittedAt: z.iso.datetime(),
  startedAt: z.iso.datetime().optional(),
  endedAt: z.iso.datetime().optional(),
  placement: placementSchema.optional(),
})
export type JobView = z.infer<typeof jobViewSchema>

/** The whole answer of a job: one part for each member, in rank order. */
export const jobAnswerSchema = z.object({
  jobId: z.string(),
  attempt: z.int().positive(),
  parts: z.array(z.object({ taskId: z.string(), upstreamId: identifierSchema, body: z.string() })),
})
export type JobAnswer = z.infer<typeof jobAnswerSchema>

/** One decision taken about a job. */
export const decisionSchema = z.object({
  at: z.iso.datetime(),
  event: z.string(),
  reason: z.string(),
})
export type Decision = z.infer<typeof decisionSchema>

export const jobExplanationSchema = z.object({
  job: jobViewSchema,
  /** What the job waits for, empty once it runs. */
  waitsFor: z.array(z.string()),
  decisions: z.array(decisionSchema),
})
export type JobExplanation = z.infer<typeof jobExplanationSchema>
