/**
 * A leader whose write fails forgets entries that its followers have committed already. Found by reading: while
 * it waits for its snapshot to be saved it applies nothing, and commits on; when the save then fails, what it is
 * to apply next is gone from its log, and the task that applies asked for it again at once, for ever, without
 * letting anything else run. The process answered nothing any more, wrote no line and gave its processor away to
 * nobody.
 */
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import { startClusterWithLeader } from '../__utils__/index.js'

const limits = { snapshotEveryEntries: 4, keepEntries: 2 }
const saveMs = 400
const proposals = 12
/** Reads of the log within one moment that only a task without end makes. */
const readsMax = 1000

test('a leader that lost committed entries with a failed write waits for them and lets others run', async (t) => {
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
    // Otherwise this test would never end.
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
