/** Members that all start again elect without waiting for the silence of a leader that cannot be there. */
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

/** From the start of all members to a leader, in milliseconds. */
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

test('after a power cut of all a leader is elected within a few heartbeats', async (t) => {
  for (const seed of seeds) {
    const tookMs = await measureElectionMs({ seed, leaseReads: false })
    t.true(tookMs <= 5 * heartbeatMs, `seed ${seed}: ${tookMs} ms`)
  }
})

test('where reads rest on time, members keep to the silence that a leader may count on', async (t) => {
  for (const seed of seeds) {
    const tookMs = await measureElectionMs({ seed, leaseReads: true })
    t.true(tookMs >= electionTimeoutMs, `seed ${seed}: ${tookMs} ms`)
  }
})

test('a member that starts again beside a leader unseats nobody', async (t) => {
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
