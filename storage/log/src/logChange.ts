/** Log changes that apply to the in-memory index at once and become durable when their frame is synced. */
import type { LogEntry } from './logStore.js'
import type { LogIndex } from './logIndex.js'
import { encodeRecord } from './logRecord.js'
import type { Segment } from './segment.js'

export interface LogChange {
  /** The encoded records. */
  readonly body: Buffer
  /** Index of the next entry after this change. */
  readonly nextIndex: number
  /** Called once the body is durable at this offset; points the index at the records on disk. */
  readonly markDurable: (segment: Segment, offsetBytes: number) => void
  /** Reverts the in-memory index. Changes are undone newest first. */
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
