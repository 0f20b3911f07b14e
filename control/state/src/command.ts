/**
 * The commands of the replicated state. Each carries the wall time of its proposer, so that applying one
 * never reads a clock.
 */
import {
  claimChangeSchema,
  contractChangeSchema,
  durationMsSchema,
  countSchema,
  fenceSchema,
  identifierSchema,
  jobRequestSchema,
} from '@nettlespur/api.schemas'
import { z } from 'zod'

const at = z.iso.datetime()
const jobId = z.string().min(1)

/** Accepts a contract where its revision is the one the operator saw. */
export const applyContractSchema = z.object({
  type: z.literal('contract.apply'),
  at,
  change: contractChangeSchema,
})

export const submitJobSchema = z.object({
  type: z.literal('job.submit'),
  at,
  request: jobRequestSchema,
})

/** Where one member of a gang goes. */
export const assignmentSchema = z.object({
  upstreamId: identifierSchema,
  address: z.string(),
  acceleratorIndexes: z.array(countSchema).min(1),
})
export type Assignment = z.infer<typeof assignmentSchema>

/** Gives a queued job its accelerators; its fence is the log index of this command. */
export const placeJobSchema = z.object({
  type: z.literal('job.place'),
  at,
  jobId,
  assignments: z.array(assignmentSchema).min(1),
  reason: z.string(),
})

/** Committed before the first start is sent: from here on a job that is not repeatable may have run. */
export const markStartedSchema = z.object({
  type: z.literal('job.started'),
  at,
  jobId,
  fence: fenceSchema,
})

/**
 * Asks for a placed gang to be stopped, so that another job may have its accelerators; it is queued again.
 * With a checkpoint, one is taken first.
 */
export const preemptJobSchema = z.object({
  type: z.literal('job.preempt'),
  at,
  jobId,
  fence: fenceSchema,
  /** Absent where the gang makes way for no job, but leaves its upstream. */
  forJobId: jobId.optional(),
  withCheckpoint: z.boolean(),
  reason: z.string(),
})

/** Gives up a preemption before anything was stopped: the gang runs on. */
export const cancelPreemptionSchema = z.object({
  type: z.literal('job.keep'),
  at,
  jobId,
  fence: fenceSchema,
  reason: z.string(),
})

/** Ends a queued job that can never run. */
export const refuseJobSchema = z.object({
  type: z.literal('job.refuse'),
  at,
  jobId,
  reason: z.string(),
})

/** The upstream whose task failed by itself. */
export const taskFailureSchema = z.object({
  upstreamId: identifierSchema,
  /** True where it failed so soon after its start that the upstream is under suspicion. */
  fast: z.boolean(),
})
export type TaskFailure = z.infer<typeof taskFailureSchema>

export const finishJobSchema = z.object({
  type: z.literal('job.finish'),
  at,
  jobId,
  fence: fenceSchema,
  parts: z.array(z.object({ taskId: z.string(), upstreamId: identifierSchema, body: z.string() })),
})

/** Takes a job whose members are all known to be stopped back into the queue. */
export const requeueJobSchema = z.object({
  type: z.literal('job.requeue'),
  at,
  jobId,
  fence: fenceSchema,
  reason: z.string(),
  /** Not placed again before this time. */
  retryAt: at,
  /** False where it is certain that no start of this attempt left. */
  startSent: z.boolean(),
  /** True where the attempt was started and did not finish. */
  countsAsFailure: z.boolean(),
  /** A checkpoint of the whole gang, for the next attempt. */
  checkpointId: z.string().optional(),
  failure: taskFailureSchema.optional(),
})

export const cancelJobSchema = z.object({
  type: z.literal('job.cancel'),
  at,
  workspace: identifierSchema,
  jobId,
})

/** Ends a job without an answer; its members are all known to be stopped. */
export const endJobSchema = z.object({
  type: z.literal('job.ended'),
  at,
  jobId,
  fence: fenceSchema,
  outcome: z.enum(['failed', 'cancelled', 'unknown']),
  reason: z.string(),
  failure: taskFailureSchema.optional(),
})

/** One change of a claim, and how long the claim is kept once its outcome is known. */
export const changeClaimSchema = z.object({
  type: z.literal('claim.change'),
  at,
  change: claimChangeSchema,
  lifetimeMs: durationMsSchema,
})

/** Takes an unresolved claim from its entry, so that its task can be stopped under a higher fence. */
export const takeClaimSchema = z.object({
  type: z.literal('claim.take'),
  at,
  workspace: identifierSchema,
  key: z.string(),
  fence: fenceSchema,
})

export const commandSchema = z.discriminatedUnion('type', [
  applyContractSchema,
  submitJobSchema,
  placeJobSchema,
  markStartedSchema,
  finishJobSchema,
  preemptJobSchema,
  cancelPreemptionSchema,
  refuseJobSchema,
  requeueJobSchema,
  cancelJobSchema,
  endJobSchema,
  changeClaimSchema,
  takeClaimSchema,
])
export type Command = z.infer<typeof commandSchema>

/** One member of the union, by its type. */
export type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>
