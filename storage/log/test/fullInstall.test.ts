/**
 * A disk that fills up right behind a snapshot that a leader sent: the snapshot had room, the segment that is
 * to follow it has none. The store must not stop for good there, as a member is sent a snapshot just when it
 * comes back from a disk that was full.
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

/** Room for so many files more, then for none. */
function limitCreatedFiles(files: MemoryFileSystem, fileCount: number): void {
  let created = 0
  files.injectFault = (operation) => {
    if (operation === 'createFile') created += 1
    const needsRoom = operation === 'createFile' || operation === 'write'
    if (needsRoom && created > fileCount) throwFileSystemError('ENOSPC')
  }
}

for (const fileCount of [0, 1, 2]) {
  test(`a disk with room for ${fileCount} files more at an installation takes every change later`, async (t) => {
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
