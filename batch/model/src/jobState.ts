/** Where a job stands, as its caller is told. */
import { z } from 'zod'

export const jobStateSchema = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled'])
export type JobState = z.infer<typeof jobStateSchema>
