import test from 'ava'
import {
  throwFileSystemError,
  MemoryFileSystem,
  openStore,
  readAll,
  toEntry,
  toSnapshot,
} from '../__utils__/index.js'
import type { FileLogStore } from '../src/index.js'

const writes: Record<string, (store: FileLogStore) => Promise<void>> = {
  append: (store) => store.append([toEntry(store.lastIndex + 1)]),
  truncateFrom: (store) => store.truncateFrom(store.lastIndex),
  saveHardState: (store) => store.saveHardState({ term: 9, votedFor: 'x' }),
  saveSnapshot: (store) => store.saveSnapshot(toSnapshot(store.lastIndex, 1), 0),
  installSnapshot: (store) => store.installSnapshot(toSnapshot(50, 8)),
}
const faults = [
  // A sync that fails with ENOSPC leaves unknown contents on the disk, so it does not count as a full disk.
  { operation: 'sync', code: 'ENOSPC', kind: 'storage-failed' },
  { operation: 'sync', code: 'EIO', kind: 'storage-failed' },
  { operation: 'write', code: 'EIO', kind: 'storage-failed' },
] as const

for (const { operation, code, kind } of faults) {
  test(`${code} on ${operation} makes all later writes fail, while reads still work`, async (t) => {
    for (const [name, write] of Object.entries(writes)) {
      const files = new MemoryFileSystem()
      const store = await openStore(files)
      await store.append([toEntry(1), toEntry(2), toEntry(3)])
      files.injectFault = (called) => {
        if (called === operation) throwFileSystemError(code)
      }
      t.like(await t.throwsAsync(write(store)), { kind }, name)
      files.injectFault = () => undefined
      const before = files.operations
      for (const next of Object.values(writes)) t.like(await t.throwsAsync(next(store)), { kind })
      t.is(files.operations, before)
      t.deepEqual(await readAll(store), [toEntry(1), toEntry(2), toEntry(3)])
      t.deepEqual([store.lastIndex, store.hardState.term, store.snapshotMeta.index], [3, 0, 0])
      await store.close()
      const again = await openStore(files.crash('lost'))
      t.deepEqual(await readAll(again), [toEntry(1), toEntry(2), toEntry(3)])
    }
  })
}

for (const [name, write] of Object.entries(writes)) {
  test(`a store whose disk was full at ${name} accepts changes again once there is room`, async (t) => {
    const files = new MemoryFileSystem()
    const store = await openStore(files)
    await store.append([toEntry(1), toEntry(2), toEntry(3)])
    files.injectFault = (operation) => {
      if (operation === 'write' || operation === 'createFile') throwFileSystemError('ENOSPC')
    }
    t.like(await t.throwsAsync(write(store)), { kind: 'disk-full' })
    t.like(await t.throwsAsync(store.append([toEntry(4, 2)])), { kind: 'disk-full' })
    t.deepEqual(await readAll(store), [toEntry(1), toEntry(2), toEntry(3)])
    t.deepEqual([store.lastIndex, store.hardState.term, store.snapshotMeta.index], [3, 0, 0])
    files.injectFault = () => undefined
    await store.append([toEntry(4, 5, 'a longer text than that of the entry refused')])
    await store.truncateFrom(3)
    await store.saveHardState({ term: 8, votedFor: 'y' })
    await store.append([toEntry(3, 8)])
    const again = await openStore(files.crash('lost'))
    t.deepEqual(await readAll(again), [toEntry(1), toEntry(2), toEntry(3, 8)])
    t.is(again.hardState.term, 8)
  })
}

test('changes queued behind a failed write fail with it and are undone', async (t) => {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  await store.append([toEntry(1), toEntry(2), toEntry(3)])
  files.injectFault = (operation) => {
    if (operation === 'sync') throwFileSystemError('EIO')
  }
  const calls = [
    store.append([toEntry(4)]),
    store.saveHardState({ term: 4, votedFor: undefined }),
    store.truncateFrom(2),
    store.append([toEntry(2, 7), toEntry(3, 7)]),
  ]
  t.is(store.lastIndex, 3)
  t.is(store.lastTerm, 7)
  const outcomes = await Promise.allSettled(calls)
  t.true(outcomes.every(({ status }) => status === 'rejected'))
  t.deepEqual(await readAll(store), [toEntry(1), toEntry(2), toEntry(3)])
})

test('opening a store on a full disk fails with disk-full and leaves the folder unlocked', async (t) => {
  const files = new MemoryFileSystem()
  files.injectFault = (operation) => {
    if (operation === 'write') throwFileSystemError('ENOSPC')
  }
  t.like(await t.throwsAsync(openStore(files)), { kind: 'disk-full' })
  files.injectFault = () => undefined
  const store = await openStore(files)
  t.is(store.lastIndex, 0)
})
