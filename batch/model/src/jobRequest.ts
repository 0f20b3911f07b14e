/** A job: steps that depend on each other, each of a number of equal tasks. */
import { countSchema, durationMsSchema, positiveCountSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

/** What one task needs of its upstream, or what an upstream has. */
export const resourcesSchema = z.strictObject({
  cpuMillicores: countSchema,
  memoryMiB: countSchema,
  accelerators: countSchema,
})
export type Resources = z.infer<typeof resourcesSchema>

export const stepSpecSchema = z.strictObject({
  taskCount: positiveCountSchema,
  needs: resourcesSchema,
  /** What the caller believes that one task takes; often far off. */
  expectedRunTimeMs: durationMsSchema,
  /** Numbers of earlier steps, of which all tasks must be done first. */
  dependsOn: z.array(countSchema),
  /** All tasks run together or none does. */
  isGang: z.boolean(),
  /** The tasks are several times slower where they lie in more than one rack. */
  prefersOneRack: z.boolean(),
  /** A label that the upstream must have. */
  requiredLabel: z.string().optional(),
  /** The tasks are several times slower in any other rack. */
  dataRack: z.string().optional(),
  /** Tasks of the step on one upstream; undefined where there is no limit. */
  tasksPerUpstreamMax: positiveCountSchema.optional(),
  /** The tasks save their progress as they run and when they are stopped. */
  checkpoints: z.boolean(),
})
export type StepSpec = z.infer<typeof stepSpecSchema>

export const jobRequestSchema = z.strictObject({
  jobId: z.string(),
  /** Handed to each task as it is. */
  payload: z.string(),
  steps: z.array(stepSpecSchema).min(1),
})
export type JobRequest = z.infer<typeof jobRequestSchema>
