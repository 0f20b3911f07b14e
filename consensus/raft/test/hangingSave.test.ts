/**
 * Guards against an apply loop that waits for the snapshot to be saved: if the leader's disk hung during the save,
 * the leader kept its leadership and went on committing, but answered no read and no change. With four healthy
 * followers, each read failed with `no-quorum`.
 */
import test from 'ava'
import { startClusterWithLeader } from '../__utils__/index.js'

const limits = { snapshotEveryEntries: 4, keepEntries: 2 }
const hangMs = 6000
const proposals = 6
const answerMs = 1000

test('a leader answers reads and proposals while saving its snapshot hangs', async (t) => {
  const { cluster, leaderId, node } = await startClusterWithLeader(t, {
    seed: 1,
    voters: 5,
    limits,
  })
  const { raft: leader, store } = node
  const saveSnapshot = store.saveSnapshot.bind(store)
  let saves = 0
  store.saveSnapshot = async (snapshot, keepEntries) => {
    saves += 1
    await cluster.clock.sleep(hangMs)
    await saveSnapshot(snapshot, keepEntries)
  }
  while (saves === 0) {
    void cluster.propose(leaderId)
    await cluster.clock.advance(100)
  }
  const outcomes: boolean[] = []
  for (let made = 0; made < proposals; made++) {
    void cluster.propose(leaderId)
    void leader
      .readBarrier()
      .run()
      .then((outcome) => outcomes.push(outcome.isRight()))
    await cluster.clock.advance(hangMs / proposals / 2)
  }
  const acknowledged = cluster.acknowledged.length
  await cluster.clock.advance(answerMs)
  t.deepEqual(outcomes, new Array<boolean>(proposals).fill(true))
  t.true(acknowledged >= proposals, `${acknowledged} acknowledged`)
  t.is(saves, 1)
  await cluster.clock.advance(hangMs)
  t.is(cluster.history.length, cluster.acknowledged.length)
  t.deepEqual(cluster.listViolations(), [])
})
