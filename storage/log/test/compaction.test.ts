import test from 'ava'
import { MemoryFileSystem, openStore, readAll, toEntry, toSnapshot } from '../__utils__/index.js'

const segmentBytesMax = 1000
const frameBytes = 24 + 21 + 'entry 1000'.length

test('disk use is bounded by the kept entries, two segments and one snapshot', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files, { segmentBytesMax })
  const keepEntries = 10
  let largest = 0
  for (let index = 1; index <= 900; index++) {
    await store.append([toEntry(index)])
    if (index % 20 !== 0) continue
    await store.saveSnapshot(toSnapshot(index, 1), keepEntries)
    largest = Math.max(largest, store.logSizeBytes)
    t.true(store.firstIndex <= index - keepEntries + 1)
    t.true(store.firstIndex > index - keepEntries - (2 * segmentBytesMax) / (frameBytes - 4))
  }
  t.true(largest <= keepEntries * frameBytes + 2 * segmentBytesMax, `${largest}`)
  t.true(files.sizeBytes <= largest + 500, `${files.sizeBytes}`)
  t.is([...files.names.keys()].filter((name) => name.endsWith('.snap')).length, 1)
})

test('compaction frees the space of truncated entries and loses no entry appended after the last truncation', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files, { segmentBytesMax })
  await store.append([toEntry(1), toEntry(2)])
  for (let round = 1; round <= 200; round++) {
    await store.append([toEntry(3, round), toEntry(4, round)])
    await store.truncateFrom(3)
  }
  await store.append([toEntry(3, 300), toEntry(4, 300)])
  await store.saveSnapshot(toSnapshot(4, 300), 0)
  t.true(store.logSizeBytes <= 2 * segmentBytesMax, `${store.logSizeBytes}`)
  await store.append([toEntry(5, 300)])
  const again = await openStore(files.crash('lost'), { segmentBytesMax })
  t.deepEqual((await readAll(again)).at(-1), toEntry(5, 300))
})

test('a read in progress returns all entries although compaction removes their segments', async (t) => {
  const store = await openStore(new MemoryFileSystem(), { segmentBytesMax: 200 })
  for (let index = 1; index <= 20; index++) await store.append([toEntry(index)])
  const [entries] = await Promise.all([
    store.read(1, Number.MAX_SAFE_INTEGER),
    store.saveSnapshot(toSnapshot(20, 1), 0),
  ])
  t.is(entries.length, 20)
  t.true(store.firstIndex > 1)
})
