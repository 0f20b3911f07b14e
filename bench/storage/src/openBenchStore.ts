/** A store on the real disk, without log lines, and the entries the measurements put into it. */
import type { Clock } from '@nettlespur/core.clock'
import { createLogger } from '@nettlespur/core.logger'
import { FileLogStore, type LogEntry } from '@nettlespur/storage.log'

/** Near the size of a request claim. */
export const payloadBytes = 256

const logger = createLogger({ name: 'bench', instanceId: 'bench', level: 'error' })
const payload = Buffer.alloc(payloadBytes, 'x')

export function openBenchStore(opts: {
  clock: Clock
  folder: string
  batchBytesMax?: number
}): Promise<FileLogStore> {
  return FileLogStore.open({ logger, ...opts })
}

export function toEntry(index: number): LogEntry {
  return { index, term: 1, payload }
}
