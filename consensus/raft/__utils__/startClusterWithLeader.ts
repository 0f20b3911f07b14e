/** A cluster that has elected a leader, and is stopped with its test. */
import type { ExecutionContext } from 'ava'
import { TestCluster, type TestClusterOptions } from './testCluster.js'

/** Many elections' time. */
const electedWithinMs = 10_000

/** Errors: rejects where nobody leads by then. */
export async function startClusterWithLeader(t: ExecutionContext, opts: TestClusterOptions) {
  const cluster = await TestCluster.start(opts)
  t.teardown(() => cluster.close())
  await cluster.clock.advance(electedWithinMs)
  const leaderId = cluster.leader?.describe().leaderId ?? ''
  const node = cluster.running.get(leaderId)
  if (node === undefined) throw new Error('nobody leads')
  return { cluster, leaderId, node }
}
