import { mkdtemp, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test from 'ava'
import { folder, MemoryFileSystem, openStore, readAll, toEntry } from '../__utils__/index.js'
import { NodeFileSystem } from '../src/index.js'
import { readProcessToken } from '../src/processToken.js'

async function createFolder(t: { teardown: (run: () => Promise<void>) => void }): Promise<string> {
  const created = await mkdtemp(path.join(tmpdir(), 'nettlespur-log-'))
  t.teardown(() => rm(created, { recursive: true }))
  return path.join(created, 'store')
}

test('a store on a real folder keeps its state when it is closed and reopened', async (t) => {
  const opts = { folder: await createFolder(t), segmentBytesMax: 300 }
  const store = await openStore(new NodeFileSystem(), opts)
  for (let index = 1; index <= 20; index++) await store.append([toEntry(index)])
  await store.truncateFrom(15)
  await store.saveSnapshot(
    { meta: { index: 10, term: 1, membership: {} }, data: Buffer.from('s') },
    2,
  )
  await store.close()
  const again = await openStore(new NodeFileSystem(), opts)
  t.is(again.diskId, store.diskId)
  t.true(again.firstIndex > 1 && again.firstIndex <= 9)
  t.deepEqual((await readAll(again)).at(-1), toEntry(14))
  t.is((await again.readSnapshot())?.data.toString(), 's')
  await again.close()
  t.false((await readdir(opts.folder)).some((name) => name.startsWith('lock-')))
})

test('a folder locked by this process or by another live one is refused', async (t) => {
  const opts = { folder: await createFolder(t) }
  const store = await openStore(new NodeFileSystem(), opts)
  t.like(await t.throwsAsync(openStore(new NodeFileSystem(), opts)), { kind: 'storage-failed' })
  await store.append([toEntry(1)])
  await store.close()
  const other = path.join(opts.folder, `lock-${await readProcessToken(process.ppid)}`)
  await writeFile(other, '')
  const error = await t.throwsAsync(openStore(new NodeFileSystem(), opts))
  t.like(error, { kind: 'storage-failed' })
  t.regex(error.message, /in use/)
  await rm(other)
  const again = await openStore(new NodeFileSystem(), opts)
  t.deepEqual(await readAll(again), [toEntry(1)])
  await again.close()
})

test('of two concurrent opens in one process exactly one succeeds', async (t) => {
  const opts = { folder: await createFolder(t) }
  const files = new NodeFileSystem()
  const outcomes = await Promise.allSettled([openStore(files, opts), openStore(files, opts)])
  const stores = outcomes.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []))
  t.is(stores.length, 1)
  await stores[0]?.append([toEntry(1)])
  await stores[0]?.close()
})

test('the lock of an ended process is removed, even if its process id is in use again', async (t) => {
  const opts = { folder: await createFolder(t) }
  await (await openStore(new NodeFileSystem(), opts)).close()
  await writeFile(path.join(opts.folder, `lock-${process.ppid}-1-otherboot`), '')
  await writeFile(path.join(opts.folder, `lock-${process.pid}-1-otherboot`), '')
  const store = await openStore(new NodeFileSystem(), opts)
  const locks = (await readdir(opts.folder)).filter((name) => name.startsWith('lock-'))
  t.deepEqual(locks, [`lock-${await readProcessToken()}`])
  await store.close()
})

test('of two processes that start together at most one opens the folder', async (t) => {
  const disk = new MemoryFileSystem()
  await (await openStore(disk)).close()
  const [left, right] = [shareDisk(disk, 'left'), shareDisk(disk, 'right')]
  const outcomes = await Promise.allSettled([openStore(left), openStore(right)])
  t.true(outcomes.filter(({ status }) => status === 'fulfilled').length <= 1)
  t.is(path.dirname([...disk.names.keys()][0] ?? ''), folder)
})

/** Returns the same disk as another process sees it, to which every process is alive. */
function shareDisk(disk: MemoryFileSystem, token: string): MemoryFileSystem {
  const own = {
    readProcessToken: () => Promise.resolve(token),
    isProcessAlive: () => Promise.resolve(true),
  }
  return new Proxy(disk, {
    get: (_target, name) => {
      const value: unknown = Reflect.get(name in own ? own : disk, name)
      return typeof value === 'function' ? (value.bind(disk) as unknown) : value
    },
  })
}

test('with locksFolder false a store takes no lock and opens despite a lock file in the folder', async (t) => {
  const opts = { folder: await createFolder(t), locksFolder: false }
  await (await openStore(new NodeFileSystem(), opts)).close()
  await writeFile(path.join(opts.folder, `lock-${await readProcessToken()}`), '')
  const store = await openStore(new NodeFileSystem(), opts)
  await store.append([toEntry(1)])
  t.deepEqual(await readAll(store), [toEntry(1)])
  await store.close()
})
