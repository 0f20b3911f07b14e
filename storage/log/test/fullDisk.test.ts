/**
 * A disk that is full from time to time: a refused change must leave no trace, and a confirmed change must survive
 * any crash.
 */
import test from 'ava'
import fc from 'fast-check'
import {
  emptyState,
  throwFileSystemError,
  holdsState,
  lossKinds,
  MemoryFileSystem,
  openStore,
  planCommand,
  stepsArbitrary,
} from '../__utils__/index.js'

const small = { segmentBytesMax: 200, batchBytesMax: 150 }
const allocatingOperations = new Set(['write', 'createFile'])

test('with a disk that is full at any writes, a store holds exactly the confirmed changes, also after a crash', async (t) => {
  const plan = fc.record({
    steps: stepsArbitrary,
    /** For each allocating operation in turn, whether the disk has room for it; repeats from the start. */
    room: fc.array(fc.boolean(), { minLength: 1, maxLength: 25 }),
    loss: fc.constantFrom(...lossKinds),
  })
  await fc.assert(
    fc.asyncProperty(plan, async ({ steps, room, loss }) => {
      const files = new MemoryFileSystem()
      const store = await openStore(files, small)
      let allocationCount = 0
      files.injectFault = (operation) => {
        if (allocatingOperations.has(operation) && room[allocationCount++ % room.length] === false)
          throwFileSystemError('ENOSPC')
      }
      let state = emptyState
      let allowed = [emptyState]
      for (const { command } of steps) {
        const planned = planCommand(state, command)
        if (planned === undefined) continue
        const [outcome] = await Promise.allSettled([planned.run(store)])
        allowed = [outcome.status === 'fulfilled' ? planned.next : state]
        if (outcome.status === 'rejected' && !isFull(outcome.reason)) throw outcome.reason
        state = allowed[0] ?? state
        if (!(await holdsState(store, state))) throw new Error(`after ${command.kind}`)
      }
      files.injectFault = () => undefined
      const again = await openStore(files.crash(loss), small)
      const held = await Promise.all(allowed.map((one) => holdsState(again, one)))
      if (!held.includes(true)) throw new Error('after the crash')
    }),
    { numRuns: 500 },
  )
  t.pass()
})

function isFull(thrown: unknown): boolean {
  return (thrown as { kind?: string }).kind === 'disk-full'
}
