/** Rebuilds the index from the segments of the current generation; checks that no segment or entry is missing. */
import path from 'node:path'
import type { FileSystem } from './fileSystem.js'
import { LogIndex } from './logIndex.js'
import { scanSegment, type ScannedRecord } from './scanSegment.js'
import { Segment } from './segment.js'
import { nameSegment, parseSegmentName, type SegmentId } from './segmentHeader.js'
import type { RecoveredSnapshot } from './recoverSnapshot.js'
import { damagedError } from './storageErrors.js'

export interface TornTail {
  readonly file: string
  readonly offsetBytes: number
  readonly removedBytes: number
}

export interface RecoveredLog {
  readonly index: LogIndex
  readonly segments: Segment[]
  readonly tornTail: TornTail | undefined
  /** Segments of older generations, which are obsolete. */
  readonly voidFiles: readonly string[]
}

export interface RecoverLogOptions {
  readonly files: FileSystem
  readonly folder: string
  readonly names: readonly string[]
  readonly base: RecoveredSnapshot
}

/** Rejects with `storage-damaged`, with file and byte offset; changes nothing on disk. */
export async function recoverLog(opts: RecoverLogOptions): Promise<RecoveredLog> {
  const { base, folder } = opts
  const ids = opts.names.flatMap((name) => parseSegmentName(name) ?? [])
  const current = ids.filter((id) => id.generation >= base.generation).sort(compareOldestFirst)
  checkNoSegmentMissing(opts, current)
  const voidFiles = ids
    .filter((id) => id.generation < base.generation)
    .map((id) => path.join(folder, nameSegment(id)))
  const baseIndex = base.snapshot?.meta.index ?? 0
  const index = new LogIndex(current[0]?.firstIndex ?? baseIndex + 1)
  const segments: Segment[] = []
  try {
    const tornTail = await replayAll(opts, current, index, segments)
    checkCoversSnapshots(opts, index)
    return { index, segments, tornTail, voidFiles }
  } catch (error) {
    for (const segment of segments) await segment.retire()
    throw error
  }
}

/** Opens all segments, adding them to `segments` and replaying their records into `index`. */
async function replayAll(
  { files, folder }: RecoverLogOptions,
  ids: readonly SegmentId[],
  index: LogIndex,
  segments: Segment[],
): Promise<TornTail | undefined> {
  let tornTail: TornTail | undefined
  for (const id of ids) {
    const file = path.join(folder, nameSegment(id))
    const bytes = await files.readFile(file)
    const scan = scanSegment({ bytes, file, id, isLast: id === ids.at(-1) })
    const segment = await Segment.open(files, file, id, scan)
    segments.push(segment)
    for (const scanned of scan.records) replayRecord(index, scanned, segment)
    const removedBytes = bytes.length - scan.endBytes
    if (removedBytes > 0) tornTail = { file, offsetBytes: scan.endBytes, removedBytes }
  }
  return tornTail
}

/**
 * Every generation after the first begins with an installed snapshot. Its first segment gets its name after that
 * snapshot, so a crash in between leaves a generation without segments.
 */
function checkNoSegmentMissing(opts: RecoverLogOptions, current: readonly SegmentId[]): void {
  const { generation, snapshot } = opts.base
  const strayId = current.find((id) => id.generation > generation)
  if (strayId !== undefined) {
    throw damagedError(path.join(opts.folder, nameSegment(strayId)), 0, 'its snapshot is missing')
  }
  if (current.length === 0 && snapshot?.installed !== true) {
    throw damagedError(opts.folder, 0, 'all segments are missing')
  }
  for (const [position, id] of current.entries()) {
    const former = current[position - 1]
    if (former !== undefined && id.number !== former.number + 1) {
      const file = path.join(opts.folder, nameSegment(id))
      throw damagedError(file, 0, `segment ${former.number + 1} is missing before it`)
    }
  }
}

function replayRecord(index: LogIndex, scanned: ScannedRecord, segment: Segment): void {
  const { record, offsetBytes, lengthBytes } = scanned
  const { nextIndex } = index
  if (record.kind === 'truncate' && record.index <= nextIndex) {
    index.truncateFrom(record.index)
    return
  }
  if (record.index !== nextIndex) {
    throw damagedError(segment.path, offsetBytes, `entry ${record.index}, expected ${nextIndex}`)
  }
  index.append([{ term: record.term, place: { segment, offsetBytes, lengthBytes } }])
}

/** Checks that the log continues the snapshot without a gap and reaches every snapshot, also a damaged one. */
function checkCoversSnapshots(opts: RecoverLogOptions, index: LogIndex): void {
  const { snapshot, damaged } = opts.base
  const baseIndex = snapshot?.meta.index ?? 0
  const lastIndex = index.nextIndex - 1
  if (damaged !== undefined && lastIndex < damaged.index) {
    throw damagedError(damaged.file, 0, 'invalid snapshot, and the log ends before its index')
  }
  if (index.firstIndex > baseIndex + 1 || lastIndex < baseIndex) {
    const held = `${index.firstIndex} to ${lastIndex}`
    const file = damaged?.file ?? opts.folder
    throw damagedError(file, 0, `log holds ${held}, snapshot covers up to ${baseIndex}`)
  }
}

function compareOldestFirst(left: SegmentId, right: SegmentId): number {
  return left.generation - right.generation || left.number - right.number
}
