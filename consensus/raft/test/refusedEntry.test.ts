/** An append request that cannot be decoded is refused alone: the member accepts the next one. */
import test from 'ava'
import { TestCluster } from '../__utils__/index.js'

const command = Buffer.from([1, 7])
const unknownKind = Buffer.from([9])
const request = { term: 1, leaderId: 'c2', prevIndex: 0, prevTerm: 0, commitIndex: 0 }

test('a member that refused an entry of an unknown kind accepts a readable entry at the same index', async (t) => {
  const cluster = new TestCluster({ seed: 1, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.startNode('c1')
  const raft = cluster.running.get('c1')?.raft
  if (raft === undefined) return t.fail()
  const refused = t.throwsAsync(
    raft.handleAppend({ ...request, entries: [{ term: 1, payload: unknownKind }] }),
  )
  await cluster.clock.advance(600)
  await refused
  const readable = { ...request, term: 2, entries: [{ term: 2, payload: command }] }
  const accepted = t.notThrowsAsync(raft.handleAppend(readable))
  await cluster.clock.advance(600)
  await accepted
  t.is(raft.describe().lastIndex, 1)
})
