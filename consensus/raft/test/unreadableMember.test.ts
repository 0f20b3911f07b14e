/** A membership that cannot be read stops every member, as any other entry does: it is refused before it is proposed. */
import test from 'ava'
import { createMember, startClusterWithLeader } from '../__utils__/index.js'

test('a member whose fields the log could not hold is refused, and the leader goes on', async (t) => {
  const { cluster, node } = await startClusterWithLeader(t, { seed: 1, voters: 3 })
  const added = node.raft.addMember({ ...createMember(9), dataCentre: 'no identifier' }).run()
  await cluster.clock.advance(1000)
  t.is((await added).swap().unsafeCoerce().kind, 'invalid-field')
  const next = node.raft.propose(Buffer.from('next')).run()
  await cluster.clock.advance(1000)
  t.true((await next).isRight())
})
