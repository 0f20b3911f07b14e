/** Identifiers of a task of a job, and of one run of the task. */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const taskRefSchema = z.strictObject({
  jobId: z.string(),
  step: countSchema,
  index: countSchema,
})
export type TaskRef = z.infer<typeof taskRefSchema>

/** Attempts of a task are numbered from 1; members of a gang share the attempt number. */
export const runRefSchema = taskRefSchema.extend({ attempt: countSchema })
export type RunRef = z.infer<typeof runRefSchema>

export function taskKey({ jobId, step, index }: TaskRef): string {
  return `${jobId}/${step}/${index}`
}

export function runKey(run: RunRef): string {
  return `${taskKey(run)}#${run.attempt}`
}

/** Returns the fields that identify a run in a log line. */
export function runFields({ jobId, step, index, attempt }: RunRef): RunRef {
  return { jobId, step, index, attempt }
}
