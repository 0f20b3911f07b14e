/**
 * A disk that has room for a snapshot from the leader, but not for the segment that follows it. The store must accept
 * writes again once there is room: a member often receives a snapshot just as it recovers from a full disk.
 */
import test from 'ava'
import {
  throwFileSystemError,
  lossKinds,
  MemoryFileSystem,
  openStore,
  readAll,
  toEntry,
  toSnapshot,
} from '../__utils__/index.js'

/** Lets `fileCount` more files be created. The next creation, and every creation or write after it, fails with `ENOSPC`. */
function limitCreatedFiles(files: MemoryFileSystem, fileCount: number): void {
  let created = 0
  files.injectFault = (operation) => {
    if (operation === 'createFile') created += 1
    const needsRoom = operation === 'createFile' || operation === 'write'
    if (needsRoom && created > fileCount) throwFileSystemError('ENOSPC')
  }
}

for (const fileCount of [0, 1, 2]) {
  test(`a store with room for ${fileCount} more files at a snapshot installation accepts changes once there is room`, async (t) => {
    for (const loss of lossKinds) {
      const files = new MemoryFileSystem()
      const store = await openStore(files)
      await store.append([toEntry(1), toEntry(2)])
      limitCreatedFiles(files, fileCount)
      const [outcome] = await Promise.allSettled([store.installSnapshot(toSnapshot(50, 8))])
      t.is(outcome.status, fileCount < 2 ? 'rejected' : 'fulfilled')
      if (outcome.status === 'rejected') t.like(outcome.reason, { kind: 'disk-full' })
      files.injectFault = () => undefined
      await store.installSnapshot(toSnapshot(60, 8))
      await store.append([toEntry(61, 9)])
      const again = await openStore(files.crash(loss))
      t.deepEqual([again.snapshotMeta.index, await readAll(again)], [60, [toEntry(61, 9)]])
    }
  })
}
