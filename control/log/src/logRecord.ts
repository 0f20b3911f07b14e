/** One record of the log file. */
import { commandSchema } from '@nettlespur/control.state'
import { z } from 'zod'

export const logRecordSchema = z.object({ index: z.int().positive(), command: commandSchema })
export type LogRecord = z.infer<typeof logRecordSchema>
