/**
 * Guards against an entry that no message to a follower can carry: the leader kept it in its log, no later entry could be
 * committed, and the leader stepped down after each one.
 */
import test from 'ava'
import { startClusterWithLeader } from '../__utils__/index.js'

const payloadBytesMax = 100

test('a command larger than the transport carries is refused as not run, and the leader goes on', async (t) => {
  const { cluster, node } = await startClusterWithLeader(t, {
    seed: 1,
    voters: 3,
    payloadBytesMax,
  })
  const refused = await node.raft.propose(Buffer.alloc(payloadBytesMax)).run()
  const error = refused.swap().unsafeCoerce()
  t.is(error.kind, 'body-too-large')
  t.is(error.answer.ran, 'no')
  const next = node.raft.propose(Buffer.alloc(payloadBytesMax - 1, 'a')).run()
  await cluster.clock.advance(1000)
  t.true((await next).isRight())
})
