/** A leader whose disk is slower than those of its followers: they commit entries that it has not written yet. */
import test, { type ExecutionContext } from 'ava'
import { startClusterWithLeader, TestCluster } from '../__utils__/index.js'

const proposals = 6
const limits = { snapshotEveryEntries: 4, keepEntries: 2 }

/** Starts a leader whose syncs take half a second longer, and proposes commands to it. */
async function startSlowLeader(t: ExecutionContext) {
  const { cluster, leaderId, node } = await startClusterWithLeader(t, {
    seed: 1,
    voters: 3,
    limits,
  })
  node.store.slowShare = 1
  for (let made = 0; made < proposals; made++) {
    void cluster.propose(leaderId)
    await cluster.clock.advance(20)
  }
  return { cluster, leaderId, node }
}

test('a leader takes no snapshot before it has written the entries that the snapshot covers', async (t) => {
  const { cluster, leaderId, node } = await startSlowLeader(t)
  await cluster.clock.advance(100)
  t.is(node.machine.applied.length, proposals)
  t.is(node.store.snapshotMeta.index, 0)
  node.store.slowShare = 0
  await cluster.clock.advance(10_000)
  void cluster.propose(leaderId)
  await cluster.clock.advance(5000)
  t.is(node.machine.applied.length, proposals + 1)
  t.true(node.store.snapshotMeta.index > 0)
  t.deepEqual(cluster.listViolations(), [])
})

test('a former leader writes the entries that its followers committed before it had written them', async (t) => {
  const { cluster, leaderId, node } = await startSlowLeader(t)
  await cluster.clock.advance(100)
  t.is(node.machine.applied.length, proposals)
  cluster.links.partition([leaderId])
  await cluster.clock.advance(6000)
  cluster.links.partition([])
  const next = cluster.leader?.describe().leaderId ?? ''
  t.not(next, leaderId)
  void cluster.propose(next)
  await cluster.clock.advance(20_000)
  t.is(node.machine.applied.length, proposals + 1)
  t.deepEqual(cluster.listViolations(), [])
})

test('a leader whose disk was full stores again the entries that its followers committed without it', async (t) => {
  const cluster = await TestCluster.start({ seed: 1, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.clock.advance(10_000)
  const leaderId = cluster.leader?.describe().leaderId ?? ''
  const node = cluster.running.get(leaderId)
  if (node === undefined) throw new Error('no leader was elected')
  node.store.slowShare = 1
  void cluster.propose(leaderId)
  await cluster.clock.advance(20)
  node.store.isFull = true
  for (let made = 1; made < proposals; made++) void cluster.propose(leaderId)
  await cluster.clock.advance(10_000)
  t.true(cluster.logLines.some((line) => line.includes('kind=disk-full')))
  node.store.slowShare = 0
  node.store.isFull = false
  await cluster.clock.advance(10_000)
  void cluster.propose(cluster.leader?.describe().leaderId ?? '')
  await cluster.clock.advance(10_000)
  t.deepEqual(
    cluster.logLines.filter((line) => line.includes('kind=internal')),
    [],
  )
  t.is(node.machine.applied.length, cluster.history.length)
})
