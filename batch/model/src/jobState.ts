/** The state of a job as reported to its caller. */
import { z } from 'zod'

export const jobStateSchema = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled'])
export type JobState = z.infer<typeof jobStateSchema>
