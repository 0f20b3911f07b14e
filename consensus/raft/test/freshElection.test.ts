/** After a restart of all members, the election does not wait for the election timeout, unless reads use leases. */
import test from 'ava'
import { TestCluster } from '../__utils__/index.js'

const heartbeatMs = 250
const electionTimeoutMs = 1500
const stepMs = 50
const seeds = Array.from({ length: 20 }, (_, at) => at + 1)

interface ElectionSetup {
  readonly seed: number
  readonly leaseReads: boolean
}

/** Measures the time from a restart of all members to the next leader. */
async function measureElectionMs({ seed, leaseReads }: ElectionSetup): Promise<number> {
  const cluster = await TestCluster.start({ seed, voters: 5, leaseReads })
  await cluster.clock.advance(10_000)
  for (const { memberId } of cluster.voters) cluster.crashNode(memberId)
  await cluster.clock.advance(1000)
  for (const { memberId } of cluster.voters) await cluster.startNode(memberId)
  let tookMs = 0
  for (; cluster.leader === undefined; tookMs += stepMs) await cluster.clock.advance(stepMs)
  await cluster.close()
  return tookMs
}

test('after a restart of all members a leader is elected within five heartbeats', async (t) => {
  for (const seed of seeds) {
    const tookMs = await measureElectionMs({ seed, leaseReads: false })
    t.true(tookMs <= 5 * heartbeatMs, `seed ${seed}: ${tookMs} ms`)
  }
})

test('with lease reads, restarted members elect no leader before the election timeout has passed', async (t) => {
  for (const seed of seeds) {
    const tookMs = await measureElectionMs({ seed, leaseReads: true })
    t.true(tookMs >= electionTimeoutMs, `seed ${seed}: ${tookMs} ms`)
  }
})

test('a restarted follower does not unseat the leader', async (t) => {
  for (const seed of seeds) {
    const cluster = await TestCluster.start({ seed, voters: 5, leaseReads: false })
    await cluster.clock.advance(10_000)
    const term = cluster.leader?.describe().term
    const follower = [...cluster.running].find(([, { raft }]) => raft !== cluster.leader)
    if (follower === undefined) return t.fail()
    cluster.crashNode(follower[0])
    await cluster.startNode(follower[0])
    await cluster.clock.advance(5000)
    t.is(cluster.leader?.describe().term, term, `seed ${seed}`)
    await cluster.close()
  }
})
