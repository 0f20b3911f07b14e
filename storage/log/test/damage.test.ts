import path from 'node:path'
import test from 'ava'
import type { LogEvent } from '@nettlespur/core.logger'
import { NettlespurError } from '@nettlespur/core.errors'
import {
  folder,
  MemoryFileSystem,
  openStore,
  readAll,
  silentLogger,
  toEntry,
  toSnapshot,
} from '../__utils__/index.js'
import { encodeRecord } from '../src/logRecord.js'
import { Segment } from '../src/segment.js'
import { segmentHeaderBytes } from '../src/segmentHeader.js'

const small = { segmentBytesMax: 400 }
const sealBytes = 24

/** Creates a disk with at least three segments and a snapshot, closed cleanly. */
async function createFilled(): Promise<MemoryFileSystem> {
  const files = new MemoryFileSystem()
  const store = await openStore(files, small)
  for (let index = 1; index <= 16; index++) await store.append([toEntry(index)])
  await store.saveHardState({ term: 2, votedFor: 'a' })
  await store.saveSnapshot(toSnapshot(4, 1), 16)
  await store.close()
  return files.crash('lost')
}

function listSegments(files: MemoryFileSystem): string[] {
  return [...files.names.keys()].filter((name) => name.includes('segment-')).sort()
}

function flipBits(files: MemoryFileSystem, name: string, offsetBytes: number, mask: number): void {
  const bytes = files.names.get(name)?.bytes
  if (bytes !== undefined) bytes[offsetBytes] = (bytes[offsetBytes] ?? 0) ^ mask
}

async function captureOpenError(files: MemoryFileSystem): Promise<NettlespurError | undefined> {
  const opened = await openStore(files, small).catch((error: unknown) => error)
  return opened instanceof NettlespurError ? opened : undefined
}

test('a damaged byte anywhere before the last seal is refused, with file and byte offset', async (t) => {
  const filled = await createFilled()
  const segments = listSegments(filled)
  t.true(segments.length >= 3)
  for (const name of segments) {
    const size = filled.names.get(name)?.bytes.length ?? 0
    const end = name === segments.at(-1) ? size - sealBytes : size
    for (let offset = 0; offset < end; offset++) {
      const files = filled.crash('lost')
      flipBits(files, name, offset, 1 << (offset % 8))
      const error = await captureOpenError(files)
      if (error?.kind !== 'storage-damaged') t.fail(`${name} at byte ${offset} was accepted`)
      const reported = /^(.*) at byte (\d+):/.exec(error?.message ?? '')
      if (reported?.[1] !== name)
        t.fail(`${name} at byte ${offset} was reported as ${String(reported?.[1])}`)
      const distance = offset - Number(reported?.[2])
      if (distance < 0 || distance > 60)
        t.fail(`${name} at byte ${offset} was reported as ${reported?.[2]}`)
    }
  }
})

test('a hard state or disk identity that is missing or has a damaged byte is refused', async (t) => {
  const filled = await createFilled()
  for (const name of ['hard-state', 'disk-id'].map((one) => path.join(folder, one))) {
    const size = filled.names.get(name)?.bytes.length ?? 0
    for (let offset = 0; offset < size; offset++) {
      const files = filled.crash('lost')
      flipBits(files, name, offset, 1)
      const error = await captureOpenError(files)
      if (error?.kind !== 'storage-damaged') t.fail(`${name} at byte ${offset} was accepted`)
    }
    const files = filled.crash('lost')
    files.names.delete(name)
    t.truthy(await captureOpenError(files), `${name} is missing`)
  }
})

test('a store is refused if any segment but the last is missing, or all are', async (t) => {
  const filled = await createFilled()
  const segments = listSegments(filled)
  for (const name of segments.slice(0, -1)) {
    const files = filled.crash('lost')
    files.names.delete(name)
    t.is((await captureOpenError(files))?.kind, 'storage-damaged', name)
  }
  for (const name of segments) filled.names.delete(name)
  t.is((await captureOpenError(filled))?.kind, 'storage-damaged')
})

test('a gap in the indexes is refused, and so are missing segments that leave no gap in the indexes', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files, { segmentBytesMax: 1 })
  await store.append([toEntry(1), toEntry(2)])
  for (const term of [1, 2]) {
    await store.append([toEntry(3, term)])
    await store.truncateFrom(3)
  }
  await store.append([toEntry(3, 3)])
  await store.close()
  const gap = files.crash('lost')
  const id = { generation: 0, number: listSegments(gap).length + 1, firstIndex: 4 }
  const added = await Segment.create(gap, folder, id)
  await added.writeFrame(encodeRecord({ kind: 'entry', ...toEntry(5) }))
  t.regex((await captureOpenError(gap))?.message ?? '', /entry 5, expected 4/)
  const missing = files.crash('lost')
  for (const name of listSegments(missing).slice(3, 5)) missing.names.delete(name)
  t.regex((await captureOpenError(missing))?.message ?? '', /is missing before it/)
})

test('a damaged snapshot is skipped only if the log still holds all entries that it covers', async (t) => {
  const filled = await createFilled()
  const name = [...filled.names.keys()].find((one) => one.endsWith('.snap')) ?? ''
  flipBits(filled, name, 30, 1)
  const store = await openStore(filled, small)
  t.deepEqual([store.snapshotMeta.index, store.firstIndex, store.lastIndex], [0, 1, 16])
  await store.saveSnapshot(toSnapshot(15, 1), 0)
  await store.close()
  const compacted = filled.crash('lost')
  const later = [...compacted.names.keys()].filter((one) => one.endsWith('.snap'))
  t.is(later.length, 1)
  flipBits(compacted, later[0] ?? '', 30, 1)
  t.is((await captureOpenError(compacted))?.kind, 'storage-damaged')
})

test('a damaged snapshot is refused if the log ends before its index', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files, small)
  for (let index = 1; index <= 16; index++) await store.append([toEntry(index)])
  await store.saveSnapshot(toSnapshot(16, 1), 16)
  await store.close()
  const name = [...files.names.keys()].find((one) => one.endsWith('.snap')) ?? ''
  flipBits(files, name, 30, 1)
  files.names.delete(listSegments(files).at(-1) ?? '')
  t.like(await captureOpenError(files), { kind: 'storage-damaged' })
})

test('a torn write at the end of the log is truncated and logged', async (t) => {
  for (const loss of ['halfKept', 'firstHalfLost', 'secondHalfLost'] as const) {
    const files = new MemoryFileSystem()
    const store = await openStore(files)
    await store.append([toEntry(1)])
    files.injectFault = (operation) => {
      if (operation === 'sync') throw new Error('crashed')
    }
    await t.throwsAsync(store.append([toEntry(2), toEntry(3)]))
    const events: LogEvent[] = []
    const torn = files.crash(loss)
    const again = await openStore(torn, { logger: silentLogger(events) })
    t.deepEqual(await readAll(again), [toEntry(1)])
    const cut = events.find(({ event }) => event === 'storage.tornTailCut')
    t.is(cut?.file, listSegments(torn)[0])
    t.true(Number(cut?.offsetBytes) > segmentHeaderBytes)
    t.true(Number(cut?.removedBytes) > 0)
    await again.append([toEntry(2, 2)])
    t.deepEqual(await readAll(await openStore(torn.crash('lost'))), [toEntry(1), toEntry(2, 2)])
  }
})

test('reading an entry that was damaged after the store opened is refused', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  await store.append([toEntry(1), toEntry(2)])
  const name = listSegments(files)[0] ?? ''
  const size = files.names.get(name)?.bytes.length ?? 0
  flipBits(files, name, size - 1, 1)
  t.deepEqual(await store.read(1, 0), [toEntry(1)])
  const error = await t.throwsAsync(store.read(2, 0))
  t.like(error, { kind: 'storage-damaged' })
})
