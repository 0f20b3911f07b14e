/** A job: steps that depend on each other, each with a number of identical tasks. */
import { countSchema, durationMsSchema, positiveCountSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** Resources that one task needs, or that an upstream has. */
export const resourcesSchema = z.strictObject({
  cpuMillicores: countSchema,
  memoryMiB: countSchema,
  accelerators: countSchema,
})
export type Resources = z.infer<typeof resourcesSchema>

export const stepSpecSchema = z.strictObject({
  taskCount: positiveCountSchema,
  needs: resourcesSchema,
  /** Run time of one task as declared by the caller; often far off. */
  expectedRunTimeMs: durationMsSchema,
  /** Numbers of earlier steps whose tasks must all be done before this step starts. */
  dependsOn: z.array(countSchema),
  /** All tasks run at the same time or none does. */
  isGang: z.boolean(),
  /** The tasks are several times slower if they run in more than one rack. */
  prefersOneRack: z.boolean(),
  /** A label that the upstream must have. */
  requiredLabel: z.string().optional(),
  /** The tasks are several times slower in any other rack. */
  dataRack: z.string().optional(),
  /** Maximum number of the step's tasks on one upstream; undefined if there is no limit. */
  tasksPerUpstreamMax: positiveCountSchema.optional(),
  /** The tasks save their progress as they run and when they are stopped. */
  checkpoints: z.boolean(),
})
export type StepSpec = z.infer<typeof stepSpecSchema>

export const jobRequestSchema = z.strictObject({
  jobId: z.string(),
  /** Passed to each task unchanged. */
  payload: z.string(),
  steps: z.array(stepSpecSchema).min(1),
})
export type JobRequest = z.infer<typeof jobRequestSchema>
