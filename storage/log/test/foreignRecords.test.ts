/** Files with a valid checksum whose contents are of another writer or a newer version must not be accepted. */
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import path from 'node:path'
import { folder, MemoryFileSystem, openStore, toEntry, toSnapshot } from '../__utils__/index.js'
import { writeSmallFile } from '../src/smallFile.js'
import { decodeSnapshot, encodeSnapshot } from '../src/snapshotFile.js'

async function createFilled(): Promise<MemoryFileSystem> {
  const files = new MemoryFileSystem()
  const store = await openStore(files)
  await store.append([toEntry(1)])
  await store.saveHardState({ term: 2, votedFor: 'a' })
  await store.close()
  return files
}

test('a small file with unexpected contents and a valid checksum is refused with its path', async (t) => {
  const contents: Record<string, unknown[]> = {
    'hard-state': [{ term: 2, fieldOfNewerVersion: 1 }, { term: 'two' }, { term: -1 }, [], null],
    'disk-id': [{ diskId: 'd', fieldOfNewerVersion: 1 }, { diskId: '' }, { diskId: 7 }, 'text'],
  }
  for (const [name, values] of Object.entries(contents)) {
    for (const value of values) {
      const files = await createFilled()
      await writeSmallFile(files, folder, name, value)
      const error = await t.throwsAsync(openStore(files), { instanceOf: NettlespurError })
      t.is(error.kind, 'storage-damaged')
      t.true(error.message.startsWith(path.join(folder, name)), error.message)
    }
  }
})

test('a snapshot with an unknown field or a wrong type in its header is not decoded', (t) => {
  const id = { generation: 0, index: 4 }
  const whole = { generation: 0, installed: false, ...toSnapshot(4, 1) }
  t.truthy(decodeSnapshot(encodeSnapshot(whole), id))
  const newer = { ...whole.meta, fieldOfNewerVersion: 1 }
  t.is(decodeSnapshot(encodeSnapshot({ ...whole, meta: newer }), id), undefined)
  const foreign = { ...whole.meta, term: 'one' as unknown as number }
  t.is(decodeSnapshot(encodeSnapshot({ ...whole, meta: foreign }), id), undefined)
})
