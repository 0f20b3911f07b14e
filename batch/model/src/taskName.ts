/** Identifiers of a step of a job, of a task of the step, and of one run of the task. */
import { countSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const taskRefSchema = z.strictObject({
  jobId: z.string(),
  step: countSchema,
  index: countSchema,
})
export type TaskRef = z.infer<typeof taskRefSchema>

/** A unit of scheduling: a step of a job. */
export type UnitRef = Pick<TaskRef, 'jobId' | 'step'>

/** Attempts of a task are numbered from 1; members of a gang share the attempt number. */
export const runRefSchema = taskRefSchema.extend({ attempt: countSchema })
export type RunRef = z.infer<typeof runRefSchema>

export function unitKey({ jobId, step }: UnitRef): string {
  return `${jobId}/${step}`
}

export function taskKey(task: TaskRef): string {
  return `${unitKey(task)}/${task.index}`
}

export function runKey(run: RunRef): string {
  return `${taskKey(run)}#${run.attempt}`
}

/** Returns the fields that identify a run in a log line. */
export function runFields({ jobId, step, index, attempt }: RunRef): RunRef {
  return { jobId, step, index, attempt }
}
