import test from 'ava'
import fc from 'fast-check'
import {
  emptyState,
  holdsState,
  lossKinds,
  MemoryFileSystem,
  openStore,
  planCommand,
  readAll,
  stepsArbitrary,
  toEntry,
  toSnapshot,
  type Step,
  type StoreState,
} from '../__utils__/index.js'
import type { FileLogStore } from '../src/index.js'

const small = { segmentBytesMax: 200, batchBytesMax: 150 }
const crashKinds = [...lossKinds, 'killed'] as const

/**
 * Runs the steps until a fault stops them. Returns the states that a reopened store may have: from that of the last
 * command whose promise resolved to that of the last command started. `diskId` is undefined if the store did not open.
 */
async function runUntilCrash(files: MemoryFileSystem, steps: readonly Step[]) {
  const states = [emptyState]
  let lastResolvedPosition = 0
  let diskId: string | undefined
  const calls: Promise<void>[] = []
  try {
    const store = await openStore(files, small)
    diskId = store.diskId
    for (const { command, awaited } of steps) {
      const alone = command.kind === 'install'
      if (alone) await Promise.all(calls)
      const plan = planCommand(states.at(-1) ?? emptyState, command)
      if (plan === undefined) continue
      states.push(plan.next)
      const position = states.length - 1
      const call = plan.run(store).then(() => {
        lastResolvedPosition = position
      })
      call.catch(() => undefined)
      calls.push(call)
      if (awaited || alone) await call
    }
    await Promise.all(calls)
    await store.close()
  } catch {
    await Promise.allSettled(calls)
  }
  return { allowed: states.slice(lastResolvedPosition), diskId }
}

async function reopen(files: MemoryFileSystem): Promise<FileLogStore> {
  return openStore(files, small)
}

async function findState(store: FileLogStore, allowed: readonly StoreState[]) {
  for (const state of allowed) if (await holdsState(store, state)) return state
  throw new Error(
    `store matches no allowed state: ${JSON.stringify({
      ...store.hardState,
      first: store.firstIndex,
      last: store.lastIndex,
      snapshot: store.snapshotMeta,
      allowed: allowed.map(({ entries, ...state }) => ({ ...state, entries: entries.length })),
    })}`,
  )
}

function crashAt(files: MemoryFileSystem, operation: number): void {
  files.injectFault = (_operation, _file, count) => {
    if (count >= operation) throw new Error('crashed')
  }
}

function simulateCrash(files: MemoryFileSystem, kind: Crash['kind']) {
  return kind === 'killed' ? files.kill() : files.crash(kind)
}

interface Crash {
  readonly operation: number
  readonly kind: (typeof lossKinds)[number] | 'killed'
}

/**
 * Crashes once while the steps run, reopens the store with a fault, crashes again and checks the reopened store.
 * Returns whether the fault made the first reopening fail.
 */
async function checkCrashes(steps: readonly Step[], first: Crash, second: Crash): Promise<boolean> {
  const files = new MemoryFileSystem()
  crashAt(files, first.operation)
  const { allowed, diskId } = await runUntilCrash(files, steps)
  const filesAfterFirstCrash = simulateCrash(files, first.kind)
  crashAt(filesAfterFirstCrash, second.operation)
  const firstReopened = await reopen(filesAfterFirstCrash).catch(() => undefined)
  // A state that a reopened store has shown must survive further crashes.
  const seen = firstReopened === undefined ? allowed : [await findState(firstReopened, allowed)]
  const filesAfterSecondCrash = simulateCrash(filesAfterFirstCrash, second.kind)
  const store = await reopen(filesAfterSecondCrash)
  const state = await findState(store, seen)
  if (diskId !== undefined && store.diskId !== diskId)
    throw new Error('the disk identity has changed')
  const leftover = [...filesAfterSecondCrash.names.keys()].find((name) => name.endsWith('.tmp'))
  if (leftover !== undefined) throw new Error(`${leftover} is left over`)
  const added = toEntry(store.lastIndex + 1, 99)
  await store.append([added])
  const last = await reopen(filesAfterSecondCrash.crash('lost'))
  await findState(last, [{ ...state, entries: [...state.entries, added] }])
  return firstReopened === undefined
}

test('after crashes at any file operations, the store holds every confirmed change and only requested ones', async (t) => {
  let crashesInRecovery = 0
  const crashArbitrary = (operationMax: number) =>
    fc.record({ operation: fc.nat(operationMax), kind: fc.constantFrom(...crashKinds) })
  await fc.assert(
    fc.asyncProperty(
      stepsArbitrary,
      crashArbitrary(90),
      crashArbitrary(20),
      async (steps, first, second) => {
        if (await checkCrashes(steps, first, second)) crashesInRecovery++
      },
    ),
    { numRuns: 1500 },
  )
  t.true(crashesInRecovery > 0)
})

test('a crash in an append and a second one in its recovery lose no confirmed change', async (t) => {
  const append = { kind: 'append', count: 2, text: 'some text' } as const
  const steps = [{ command: append, awaited: true }]
  for (const kind of crashKinds) {
    for (let operation = 12; operation <= 24; operation++) {
      for (let second = 0; second <= 8; second++) {
        for (const secondKind of crashKinds) {
          const crashes = { operation: second, kind: secondKind }
          await t.notThrowsAsync(checkCrashes(steps, { operation, kind }, crashes))
        }
      }
    }
  }
})

test('a crash at any step of a snapshot installation leaves the old state or the new one', async (t) => {
  const seen = new Set<number>()
  for (const loss of crashKinds) {
    for (let step = 0, done = false; !done; step++) {
      const files = new MemoryFileSystem()
      const store = await openStore(files, small)
      for (let index = 1; index <= 12; index++) await store.append([toEntry(index)])
      await store.saveSnapshot(toSnapshot(6, 1), 0)
      crashAt(files, files.operations + step)
      const outcome = await store.installSnapshot(toSnapshot(9, 5)).then(
        () => true,
        () => false,
      )
      done = outcome
      const again = await reopen(simulateCrash(files, loss))
      const { index } = again.snapshotMeta
      const entries = await readAll(again)
      if (index === 9) t.deepEqual([again.firstIndex, again.lastIndex, again.lastTerm], [10, 9, 5])
      else t.deepEqual([index, again.lastIndex, entries.at(-1)], [6, 12, toEntry(12)])
      if (outcome) t.is(index, 9)
      t.is((await again.readSnapshot())?.data.toString(), `to ${index}`)
      seen.add(index)
    }
  }
  t.deepEqual([...seen].sort(), [6, 9])
})
