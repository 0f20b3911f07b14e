/** Names one task of one job, and one run of it. */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const taskRefSchema = z.strictObject({
  jobId: z.string(),
  step: countSchema,
  index: countSchema,
})
export type TaskRef = z.infer<typeof taskRefSchema>

/** Attempts of one task count from 1; members of a gang share theirs. */
export const runRefSchema = taskRefSchema.extend({ attempt: countSchema })
export type RunRef = z.infer<typeof runRefSchema>

export function taskKey({ jobId, step, index }: TaskRef): string {
  return `${jobId}/${step}/${index}`
}

export function runKey(run: RunRef): string {
  return `${taskKey(run)}#${run.attempt}`
}

/** The fields that name a run in a log line. */
export function runFields({ jobId, step, index, attempt }: RunRef): RunRef {
  return { jobId, step, index, attempt }
}
