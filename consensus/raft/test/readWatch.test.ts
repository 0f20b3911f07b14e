/** The log lines of a leader about reads that it confirms slowly or refuses. */
import test, { type ExecutionContext } from 'ava'
import { TestCluster } from '../__utils__/index.js'

const burst = 150

async function startCluster(t: ExecutionContext) {
  const cluster = await TestCluster.start({ seed: 1, voters: 3, leaseReads: false })
  t.teardown(() => cluster.close())
  await cluster.clock.advance(10_000)
  const { leader } = cluster
  if (leader === undefined) throw new Error('no leader was elected')
  const { leaderId = '' } = leader.describe()
  const followers = [...cluster.running.keys()].filter((memberId) => memberId !== leaderId)
  cluster.logLines.length = 0
  const readMany = () =>
    Promise.all(Array.from({ length: burst }, () => leader.readBarrier().run()))
  const listLines = () => cluster.logLines.filter((line) => line.includes('event=raft.read-'))
  return { cluster, leaderId, followers, readMany, listLines }
}

test('reads that are confirmed in time are not logged', async (t) => {
  const { cluster, readMany, listLines } = await startCluster(t)
  const reading = readMany()
  await cluster.clock.advance(1000)
  t.true((await reading).every((outcome) => outcome.isRight()))
  t.deepEqual(listLines(), [])
})

test('a burst of reads that no majority confirms is logged as one line that lists the silent voters', async (t) => {
  const { cluster, leaderId, followers, readMany, listLines } = await startCluster(t)
  cluster.links.partition([leaderId])
  const reading = readMany()
  await cluster.clock.advance(5000)
  t.true((await reading).every((outcome) => outcome.isLeft()))
  const lines = listLines()
  t.is(lines.length, 1)
  t.regex(lines[0] ?? '', /event=raft\.read-refused term=\d+ step=quorum tookMs=1500/)
  for (const follower of followers) t.regex(lines[0] ?? '', new RegExp(`silent=\\S*${follower}:`))
})

test('slow reads are logged with their step, and the next line counts the reads left out in between', async (t) => {
  const { cluster, leaderId, followers, readMany, listLines } = await startCluster(t)
  const confirmLate = async (): Promise<void> => {
    cluster.links.partition([leaderId])
    const reading = readMany()
    await cluster.clock.advance(300)
    cluster.links.partition([])
    await cluster.clock.advance(3000)
    t.true((await reading).every((outcome) => outcome.isRight()))
  }
  await confirmLate()
  await confirmLate()
  const lines = listLines()
  t.is(lines.length, 2)
  for (const line of lines) t.regex(line, /event=raft\.read-slow .*step=quorum/)
  t.regex(lines[1] ?? '', new RegExp(`others=${burst - 1}`))
  t.is(followers.length, 2)
})
