/** Reads entries with one file read for each run of consecutive entries in the same segment. */
import type { IndexedEntry, LogIndex } from './logIndex.js'
import { decodeRecord, recordHeaderBytes } from './logRecord.js'
import type { LogEntry } from './logStore.js'
import type { Segment } from './segment.js'
import { damagedError } from './storageErrors.js'

interface PlacedEntry {
  readonly index: number
  readonly entry: IndexedEntry
}

/** Starts all reads at once, so that no segment is removed before its read starts. */
export async function readEntries(
  log: LogIndex,
  fromIndex: number,
  bytesMax: number,
): Promise<LogEntry[]> {
  const chosen = selectEntries(log, fromIndex, bytesMax)
  const runs = await Promise.all(splitBySegment(chosen).map((run) => readRun(run)))
  return runs.flat()
}

function selectEntries(log: LogIndex, fromIndex: number, bytesMax: number): PlacedEntry[] {
  const chosen: PlacedEntry[] = []
  let bytes = 0
  for (let index = fromIndex; ; index++) {
    const entry = log.get(index)
    if (entry === undefined) break
    bytes += getPayloadBytes(entry)
    if (chosen.length > 0 && bytes > bytesMax) break
    chosen.push({ index, entry })
  }
  return chosen
}

function getPayloadBytes({ place }: IndexedEntry): number {
  return 'payload' in place ? place.payload.length : place.lengthBytes - recordHeaderBytes
}

function splitBySegment(chosen: readonly PlacedEntry[]): PlacedEntry[][] {
  const runs: PlacedEntry[][] = []
  let former: Segment | undefined
  for (const placed of chosen) {
    const { place } = placed.entry
    const segment = 'segment' in place ? place.segment : undefined
    const run = runs.at(-1)
    if (run === undefined || segment !== former) runs.push([placed])
    else run.push(placed)
    former = segment
  }
  return runs
}

async function readRun(run: readonly PlacedEntry[]): Promise<LogEntry[]> {
  const first = run[0]?.entry.place
  const last = run.at(-1)?.entry.place
  if (first === undefined || last === undefined) return []
  if ('payload' in first || 'payload' in last) return run.flatMap(toPendingEntry)
  const endBytes = last.offsetBytes + last.lengthBytes
  const bytes = await first.segment.read(first.offsetBytes, endBytes - first.offsetBytes)
  return run.flatMap(({ index, entry: { place } }) =>
    'payload' in place
      ? []
      : [decodeEntry(bytes, first.segment, index, place.offsetBytes, first.offsetBytes)],
  )
}

function toPendingEntry({ index, entry }: PlacedEntry): LogEntry[] {
  const { term, place } = entry
  return 'payload' in place ? [{ index, term, payload: place.payload }] : []
}

function decodeEntry(
  bytes: Buffer,
  segment: Segment,
  index: number,
  offsetBytes: number,
  startBytes: number,
): LogEntry {
  const record = decodeRecord(bytes.subarray(offsetBytes - startBytes))
  if (record?.kind !== 'entry' || record.index !== index) {
    throw damagedError(segment.path, offsetBytes, `not entry ${index}`)
  }
  return { index, term: record.term, payload: record.payload }
}
