import test from 'ava'
import {
  throwFileSystemError,
  MemoryFileSystem,
  openStore,
  readAll,
  toEntry,
} from '../__utils__/index.js'

const range = (from: number, to: number, term = 1) =>
  Array.from({ length: to - from + 1 }, (_, position) => toEntry(from + position, term))

test('entries, hard state and disk identity survive a crash after a clean close', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  t.deepEqual([store.firstIndex, store.lastIndex, store.lastTerm], [1, 0, 0])
  await store.append(range(1, 5))
  await store.saveHardState({ term: 3, votedFor: 'b' })
  await store.close()
  const again = await openStore(files.crash('lost'))
  t.is(again.diskId, store.diskId)
  t.deepEqual(again.hardState, { term: 3, votedFor: 'b' })
  t.deepEqual(await readAll(again), range(1, 5))
  t.not((await openStore(new MemoryFileSystem())).diskId, store.diskId)
})

test('concurrent appends share one write and one sync, and their entries can be read before that', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  const before = files.operations
  const appends = range(1, 50).map((entry) => store.append([entry]))
  t.deepEqual(await readAll(store), range(1, 50))
  await Promise.all(appends)
  t.is(files.operations - before, 2)
  t.deepEqual(await readAll(store), range(1, 50))
})

test('a read returns at least one entry if any is held, then up to the requested bytes', async (t) => {
  const store = await openStore(new MemoryFileSystem(), { segmentBytesMax: 200 })
  for (const entry of range(1, 9)) await store.append([entry])
  t.deepEqual(await store.read(2, 0), range(2, 2))
  t.deepEqual(await store.read(2, 3 * 'entry 1'.length), range(2, 4))
  t.deepEqual(await store.read(10, 100), [])
  t.deepEqual(await store.read(0, 100), [])
})

test('a truncation removes an entry and all after it, also after a crash', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files, { segmentBytesMax: 200 })
  for (const entry of range(1, 9)) await store.append([entry])
  await store.truncateFrom(4)
  t.deepEqual([store.lastIndex, store.lastTerm], [3, 1])
  await store.append(range(4, 6, 2))
  const again = await openStore(files.crash('lost'))
  t.deepEqual(await readAll(again), [...range(1, 3), ...range(4, 6, 2)])
  t.is(again.termAt(4), 2)
  t.is(again.termAt(7), undefined)
})

test('a truncation of entries that another one is already removing fails if that one fails', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  await store.append(range(1, 3))
  files.injectFault = (operation) => {
    if (operation === 'sync') throwFileSystemError('EIO')
  }
  const outcomes = await Promise.allSettled([store.truncateFrom(2), store.truncateFrom(2)])
  t.true(outcomes.every(({ status }) => status === 'rejected'))
})

test('an append that leaves a gap, a truncation within a snapshot and a snapshot past the log are refused', async (t) => {
  const store = await openStore(new MemoryFileSystem())
  await t.throwsAsync(store.append([toEntry(2)]), { message: /gap/ })
  await store.append(range(1, 5))
  await store.saveSnapshot(
    { meta: { index: 4, term: 1, membership: null }, data: Buffer.alloc(0) },
    9,
  )
  await t.throwsAsync(store.truncateFrom(4), { message: /snapshot/ })
  await t.throwsAsync(
    store.saveSnapshot({ meta: { index: 9, term: 1, membership: null }, data: Buffer.alloc(0) }, 0),
    { message: /no entry 9/ },
  )
  await store.append([toEntry(6)])
})
