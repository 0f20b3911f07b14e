/** The synced content of a simulated disk: it survives every crash. */
import type { HardState, LogEntry, Snapshot } from '@nettlespur/storage.log'

export class MemoryDisk {
  hardState: HardState = { term: 0, votedFor: undefined }
  entries: LogEntry[] = []
  snapshot: Snapshot | undefined

  constructor(readonly diskId: string) {}
}
