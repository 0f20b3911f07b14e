/** Starts a cluster that has elected a leader; it is stopped when the test ends. */
import type { ExecutionContext } from 'ava'
import { TestCluster, type TestClusterOptions } from './testCluster.js'

/** Long enough for several elections. */
const electedWithinMs = 10_000

/** Errors: rejects if there is no leader after `electedWithinMs`. */
export async function startClusterWithLeader(t: ExecutionContext, opts: TestClusterOptions) {
  const cluster = await TestCluster.start(opts)
  t.teardown(() => cluster.close())
  await cluster.clock.advance(electedWithinMs)
  const leaderId = cluster.leader?.describe().leaderId ?? ''
  const node = cluster.running.get(leaderId)
  if (node === undefined) throw new Error('no leader was elected')
  return { cluster, leaderId, node }
}
