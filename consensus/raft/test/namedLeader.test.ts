/** The leader that a member reports while no majority is left to elect another one. */
import test from 'ava'
import { startClusterWithLeader } from '../__utils__/index.js'

test('a member no longer reports a leader from which it hears nothing', async (t) => {
  const { cluster, leaderId } = await startClusterWithLeader(t, {
    seed: 1,
    voters: 3,
    leaseReads: false,
  })
  const [lastId = '', otherId = ''] = [...cluster.running.keys()].filter((id) => id !== leaderId)
  const last = cluster.running.get(lastId)?.raft
  t.is(last?.leader?.memberId, leaderId)
  cluster.crashNode(leaderId)
  cluster.crashNode(otherId)
  await cluster.clock.advance(10_000)
  t.is(last?.leader, undefined)
})
