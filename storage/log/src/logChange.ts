/** A change of the log that shows in memory at once and becomes durable with the next frame. */
import type { LogEntry } from './logStore.js'
import type { LogIndex } from './logIndex.js'
import { encodeRecord } from './logRecord.js'
import type { Segment } from './segment.js'

export interface LogChange {
  /** Its records, encoded. */
  readonly body: Buffer
  /** The index that follows once the change is durable. */
  readonly nextIndex: number
  /** Told where its body stands once it is durable. */
  readonly markDurable: (segment: Segment, offsetBytes: number) => void
  /** Takes it back in memory; the last change made is undone first. */
  readonly undo: () => void
}

export function appendEntries(index: LogIndex, entries: readonly LogEntry[]): LogChange {
  const records = entries.map((entry) => encodeRecord({ kind: 'entry', ...entry }))
  const added = entries.map(({ term, payload }) => ({ term, place: { payload } }))
  const firstIndex = index.nextIndex
  index.append(added)
  return {
    body: Buffer.concat(records),
    nextIndex: index.nextIndex,
    markDurable: (segment, startBytes) => {
      let offsetBytes = startBytes
      added.forEach((entry, position) => {
        const lengthBytes = records[position]?.length ?? 0
        Object.assign(entry, { place: { segment, offsetBytes, lengthBytes } })
        offsetBytes += lengthBytes
      })
    },
    undo: () => {
      index.truncateFrom(firstIndex)
    },
  }
}

export function truncateEntries(index: LogIndex, fromIndex: number): LogChange {
  const removed = index.truncateFrom(fromIndex)
  return {
    body: encodeRecord({ kind: 'truncate', index: fromIndex, term: 0, payload: Buffer.alloc(0) }),
    nextIndex: fromIndex,
    markDurable: () => undefined,
    undo: () => {
      index.append(removed)
    },
  }
}
