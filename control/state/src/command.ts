/**
 * The commands of the replicated state. Each carries the wall-clock time of its proposer, so that applying
 * a command never reads a clock and gives the same result on every instance.
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
import { evacuationChangeSchema } from '@nettlespur/core.evacuations'
import { z } from 'zod'

const at = z.iso.datetime()
const jobId = z.string().min(1)

/** Applies a contract change if the contract is still at the revision that the operator expected. */
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

/** The upstream and accelerators assigned to one member of a gang. */
export const assignmentSchema = z.object({
  upstreamId: identifierSchema,
  address: z.string(),
  /** Absent if an earlier version proposed the command. */
  dataCentre: identifierSchema.optional(),
  acceleratorIndexes: z.array(countSchema).min(1),
})
export type Assignment = z.infer<typeof assignmentSchema>

/** Places a queued job on accelerators. The log index of this command becomes the placement's fence. */
export const placeJobSchema = z.object({
  type: z.literal('job.place'),
  at,
  jobId,
  assignments: z.array(assignmentSchema).min(1),
  reason: z.string(),
})

/**
 * Committed before the first start is sent. From then on the job may have run, which limits the retries of
 * a job that is not repeatable.
 */
export const markStartedSchema = z.object({
  type: z.literal('job.started'),
  at,
  jobId,
  fence: fenceSchema,
})

/**
 * Requests that a placed gang be stopped and queued again, to free its accelerators for another job or to
 * vacate its upstream. With `withCheckpoint`, a checkpoint is taken first.
 */
export const preemptJobSchema = z.object({
  type: z.literal('job.preempt'),
  at,
  jobId,
  fence: fenceSchema,
  /** The job that gets the accelerators. Absent if the gang only vacates its upstream. */
  forJobId: jobId.optional(),
  withCheckpoint: z.boolean(),
  reason: z.string(),
})

/** Cancels a preemption before any member was stopped; the gang keeps running. */
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

/** The upstream on which a task failed on its own. */
export const taskFailureSchema = z.object({
  upstreamId: identifierSchema,
  /** True if the task failed so soon after its start that the upstream may be faulty. */
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

/** Returns a job to the queue; all its members are known to be stopped. */
export const requeueJobSchema = z.object({
  type: z.literal('job.requeue'),
  at,
  jobId,
  fence: fenceSchema,
  reason: z.string(),
  /** The job is not placed again before this time. */
  retryAt: at,
  /** False only if it is certain that no start request of this attempt was sent. */
  startSent: z.boolean(),
  /** True if the attempt was started and is known to have failed or to be lost. */
  countsAsFailure: z.boolean(),
  /** A checkpoint of the whole gang, from which the next attempt resumes. */
  checkpointId: z.string().optional(),
  failure: taskFailureSchema.optional(),
})

export const cancelJobSchema = z.object({
  type: z.literal('job.cancel'),
  at,
  workspace: identifierSchema,
  jobId,
})

/** Ends a job without an answer; all its members are known to be stopped. */
export const endJobSchema = z.object({
  type: z.literal('job.ended'),
  at,
  jobId,
  fence: fenceSchema,
  outcome: z.enum(['failed', 'cancelled', 'unknown']),
  reason: z.string(),
  failure: taskFailureSchema.optional(),
})

/** Changes one claim. `lifetimeMs` is how long a claim is kept once its outcome is known. */
export const changeClaimSchema = z.object({
  type: z.literal('claim.change'),
  at,
  change: claimChangeSchema,
  lifetimeMs: durationMsSchema,
})

/** Takes an unresolved claim away from its entry, so that its task can be stopped under a higher fence. */
export const takeClaimSchema = z.object({
  type: z.literal('claim.take'),
  at,
  workspace: identifierSchema,
  key: z.string(),
  fence: fenceSchema,
})

/** Orders or withdraws the evacuation of a data centre. */
export const changeEvacuationSchema = z.object({
  type: z.literal('evacuation.change'),
  at,
  change: evacuationChangeSchema,
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
  changeEvacuationSchema,
])
export type Command = z.infer<typeof commandSchema>

/** The command of the given type. */
export type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>
