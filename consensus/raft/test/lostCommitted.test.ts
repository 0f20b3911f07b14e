/**
 * Guards against a busy loop: a leader whose write fails drops unwritten entries that its followers have committed
 * already. If it applied nothing while it waited for a snapshot to be saved, and the save failed, the entries to apply
 * next were missing from its log. The apply loop then read the log again and again without waiting, and blocked the
 * event loop: the process answered and logged nothing.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import { startClusterWithLeader } from '../__utils__/index.js'

const limits = { snapshotEveryEntries: 4, keepEntries: 2 }
const saveMs = 400
const proposals = 12
/** More reads than this at one time of the manual clock mean a busy loop. */
const readsMax = 1000

test('a leader that lost committed entries in a failed write waits for them without blocking other tasks', async (t) => {
  const { cluster, leaderId, node } = await startClusterWithLeader(t, {
    seed: 1,
    voters: 3,
    limits,
  })
  const { store, machine } = node
  const saveSnapshot = store.saveSnapshot.bind(store)
  store.saveSnapshot = async () => {
    await cluster.clock.sleep(saveMs)
    throw new NettlespurError('disk-full', 'no space left')
  }
  const read = store.read.bind(store)
  let lastReadMs = 0
  let reads = 0
  store.read = (fromIndex, bytesMax) => {
    const nowMs = cluster.clock.monotonicMs()
    reads = nowMs === lastReadMs ? reads + 1 : 1
    lastReadMs = nowMs
    // Ends the test if the loop reads without waiting.
    if (reads > readsMax) return Promise.reject(new Error('the log is read without end'))
    return read(fromIndex, bytesMax)
  }
  for (let made = 0; made < proposals; made++) {
    void cluster.propose(leaderId)
    await cluster.clock.advance(saveMs / 8)
  }
  await cluster.clock.advance(5000)
  t.true(cluster.logLines.some((line) => line.includes('raft.snapshot-failed')))
  t.deepEqual(
    cluster.logLines.filter((line) => line.includes('without end')),
    [],
  )
  store.saveSnapshot = saveSnapshot
  await cluster.clock.advance(10_000)
  void cluster.propose(cluster.leader?.describe().leaderId ?? '')
  await cluster.clock.advance(5000)
  t.is(machine.applied.length, cluster.history.length)
})
