/**
 * One record of the log file: the commands of one sync, the first of them at `firstIndex`. A batch is one
 * record so that a crash in its middle can only leave a damaged record at the end.
 */
import { commandSchema } from '@nettlespur/control.state'
import { z } from 'zod'

export const logRecordSchema = z.object({
  firstIndex: z.int().positive(),
  commands: z.array(commandSchema).min(1),
})
export type LogRecord = z.infer<typeof logRecordSchema>
