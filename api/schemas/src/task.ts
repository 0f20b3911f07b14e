/**
 * The protocol toward upstreams. A task is one member of a gang, or one short request. Its fence rises
 * with each placement; an upstream refuses a fence lower than one it has seen for the same job.
 */
import { z } from 'zod'
import {
  byteCountSchema,
  countSchema,
  cpuCoresSchema,
  durationMsSchema,
  identifierSchema,
} from './fields.js'

export const fenceSchema = z.int().positive()

/** `unknown`: the upstream has never seen the task. `never-runs`: stopped before any start; final. */
export const taskStates = [
  'unknown',
  'reserved',
  'running',
  'finished',
  'failed',
  'stopped',
  'never-runs',
  'lease-expired',
] as const
export const taskStateSchema = z.enum(taskStates)
export type TaskState = z.infer<typeof taskStateSchema>

/** Body of `PUT /v1/tasks/{taskId}`: idempotent for the same fence. */
export const reserveTaskSchema = z.strictObject({
  jobId: z.string(),
  fence: fenceSchema,
  workspace: identifierSchema,
  rank: countSchema,
  gangSize: z.int().positive(),
  acceleratorIndexes: z.array(countSchema),
  cpuCores: cpuCoresSchema,
  memoryBytes: byteCountSchema,
  leaseMs: durationMsSchema,
  payload: z.string(),
  /** Where a former attempt left a checkpoint. */
  checkpointId: z.string().optional(),
})
export type ReserveTask = z.infer<typeof reserveTaskSchema>

/** Body of `POST …/start` and `POST …/checkpoint`. */
export const fencedCallSchema = z.strictObject({ fence: fenceSchema })

/** Body of `POST …/stop`. On a task never seen it leaves a record that the task never runs. */
export const stopTaskSchema = z.strictObject({
  fence: fenceSchema,
  jobId: z.string(),
  graceMs: durationMsSchema,
})

/** Body of `POST …/throttle`: the share of its processors the task may use. */
export const throttleTaskSchema = z.strictObject({
  fence: fenceSchema,
  cpuShare: z.number().positive().max(1),
})

/** Body of `POST /v1/leases`: renews many tasks at once. */
export const renewLeasesSchema = z.strictObject({
  leases: z.array(
    z.strictObject({ taskId: z.string(), fence: fenceSchema, leaseMs: durationMsSchema }),
  ),
})
export type RenewLeases = z.infer<typeof renewLeasesSchema>

/** How one task stands, as its upstream says. */
export const taskStatusSchema = z.object({
  taskId: z.string(),
  fence: countSchema,
  state: taskStateSchema,
  /** Length of the whole answer, once there is one. */
  answerBytes: byteCountSchema.optional(),
  failure: z.string().optional(),
  checkpointId: z.string().optional(),
  /** As announced: records of tasks from before this start are lost. */
  session: z.string().optional(),
})
export type TaskStatus = z.infer<typeof taskStatusSchema>

export const leasesAnswerSchema = z.object({ tasks: z.array(taskStatusSchema) })

/** How a task stands in an announcement. Usage lags behind the task. */
export const taskReportSchema = z.strictObject({
  taskId: z.string(),
  fence: countSchema,
  state: taskStateSchema,
  cpuCoresUsed: cpuCoresSchema.optional(),
  memoryBytesUsed: byteCountSchema.optional(),
})
export type TaskReport = z.infer<typeof taskReportSchema>

/** Header names of `POST /v1/tasks/{taskId}/run` (one short request) and of every answer to it. */
export const taskHeaders = {
  fence: 'nettlespur-fence',
  attempt: 'nettlespur-attempt',
  taskId: 'nettlespur-task-id',
  workspace: 'nettlespur-workspace',
  leaseMs: 'nettlespur-lease-ms',
} as const

/** Header names of `POST /v1/requests`. */
export const requestHeaders = {
  workspace: 'nettlespur-workspace',
  key: 'idempotency-key',
  repeatable: 'nettlespur-repeatable',
  deadlineMs: 'nettlespur-deadline-ms',
} as const
