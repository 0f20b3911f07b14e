import test, { type ExecutionContext } from 'ava'
import { createMember, TestCluster, type TestClusterOptions } from '../__utils__/index.js'

async function startCluster(t: ExecutionContext, opts: Partial<TestClusterOptions> = {}) {
  const cluster = await TestCluster.start({ seed: 1, voters: 3, ...opts })
  t.teardown(() => cluster.close())
  await cluster.clock.advance(10_000)
  return cluster
}

function requireLeader(cluster: TestCluster) {
  const { leader } = cluster
  if (leader === undefined) throw new Error('no leader was elected')
  return leader
}

function listFollowers(cluster: TestCluster): string[] {
  const { leaderId } = requireLeader(cluster).describe()
  return [...cluster.running.keys()].filter((memberId) => memberId !== leaderId)
}

async function proposeMany(cluster: TestCluster, count: number): Promise<void> {
  const leaderId = requireLeader(cluster).describe().leaderId ?? ''
  for (let made = 0; made < count; made++) {
    void cluster.propose(leaderId)
    await cluster.clock.advance(100)
  }
}

function getRole(cluster: TestCluster, memberId: string): string | undefined {
  const { members } = requireLeader(cluster).describe()
  return members.find((member) => member.memberId === memberId)?.role
}

test('a member that was isolated for a minute rejoins without unseating the leader or raising its term', async (t) => {
  const cluster = await startCluster(t)
  const before = requireLeader(cluster).describe()
  const [follower = ''] = listFollowers(cluster)
  cluster.links.partition([follower])
  await proposeMany(cluster, 5)
  await cluster.clock.advance(60_000)
  cluster.links.partition([])
  await cluster.clock.advance(10_000)
  const after = requireLeader(cluster).describe()
  t.like(after, { leaderId: before.leaderId, term: before.term })
  t.is(cluster.running.get(follower)?.machine.applied.length, 5)
})

test('a leader without answers from a majority steps down, and another one is elected', async (t) => {
  const cluster = await startCluster(t)
  const former = requireLeader(cluster)
  cluster.links.partition([former.describe().leaderId ?? ''])
  await cluster.clock.advance(6000)
  t.is(former.describe().role, 'follower')
  t.not(requireLeader(cluster), former)
})

test('the first election needs every voter, since an empty log may mean a lost disk', async (t) => {
  const cluster = new TestCluster({ seed: 1, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.startNode('c1')
  await cluster.startNode('c2')
  await cluster.clock.advance(20_000)
  t.is(cluster.leader, undefined)
  await cluster.startNode('c3')
  await cluster.clock.advance(10_000)
  t.truthy(cluster.leader)
})

test('two of three voters that restart on empty disks elect no leader, with or without the third', async (t) => {
  const cluster = await startCluster(t)
  await proposeMany(cluster, 3)
  const [first = '', second = ''] = listFollowers(cluster)
  const leaderId = requireLeader(cluster).describe().leaderId ?? ''
  cluster.loseDisk(first)
  cluster.loseDisk(second, { evenIfFatal: true })
  cluster.crashNode(leaderId)
  await cluster.startNode(first)
  await cluster.startNode(second)
  await cluster.clock.advance(20_000)
  t.is(cluster.leader, undefined)
  await cluster.startNode(leaderId)
  await cluster.clock.advance(20_000)
  t.is(cluster.leader, undefined)
})

test('a voter on an empty disk does not vote, becomes a learner, and is a voter again once it has caught up', async (t) => {
  const cluster = await startCluster(t)
  await proposeMany(cluster, 5)
  const [lost = ''] = listFollowers(cluster)
  cluster.loseDisk(lost)
  await cluster.startNode(lost)
  await cluster.clock.advance(10_000)
  t.true(cluster.logLines.some((line) => /raft.membership .*voters=c\d,c\d /.test(line)))
  t.is(getRole(cluster, lost), 'voter')
  t.is(cluster.running.get(lost)?.machine.applied.length, 5)
  t.deepEqual(cluster.listViolations(), [])
})

test('a silent voter is replaced by a learner that has caught up, and a second crash then loses no entry', async (t) => {
  const cluster = await startCluster(t)
  await cluster.startNode('c4')
  void requireLeader(cluster).addMember(createMember(4)).run()
  await proposeMany(cluster, 5)
  t.is(getRole(cluster, 'c4'), 'learner')
  const [first = '', second = ''] = listFollowers(cluster).filter((id) => id !== 'c4')
  cluster.crashNode(first)
  await cluster.clock.advance(30_000)
  t.is(getRole(cluster, 'c4'), 'voter')
  t.is(getRole(cluster, first), 'learner')
  cluster.crashNode(second)
  await proposeMany(cluster, 3)
  await cluster.clock.advance(5000)
  t.is(cluster.acknowledged.length, 8)
  t.is(cluster.running.get('c4')?.machine.applied.length, 8)
})

test('a leadership transfer makes another voter the leader within one round of messages', async (t) => {
  const cluster = await startCluster(t)
  const former = requireLeader(cluster)
  const done = former.transferLeadership()
  await cluster.clock.advance(400)
  t.true(await done)
  t.truthy(cluster.leader)
  t.not(cluster.leader, former)
})

test('a member that is far behind installs a snapshot sent in chunks, although messages are lost', async (t) => {
  const limits = { snapshotEveryEntries: 10, keepEntries: 2, snapshotChunkBytes: 32 }
  const cluster = await startCluster(t, { limits })
  const [late = ''] = listFollowers(cluster)
  cluster.crashNode(late)
  await proposeMany(cluster, 40)
  cluster.links.lossShare = 0.05
  await cluster.startNode(late)
  await cluster.clock.advance(60_000)
  t.true(cluster.logLines.some((line) => line.includes('raft.snapshot-installed')))
  t.is(cluster.running.get(late)?.machine.applied.length, 40)
})

test('a follower that is cut off from the leader alone does not unseat it', async (t) => {
  const cluster = await startCluster(t)
  const before = requireLeader(cluster).describe()
  const [follower = ''] = listFollowers(cluster)
  cluster.links.cutLink(before.leaderId ?? '', follower)
  await cluster.clock.advance(30_000)
  t.like(requireLeader(cluster).describe(), { leaderId: before.leaderId, term: before.term })
})

test('a leader that resumes after a long pause does not answer a read from stale state', async (t) => {
  const cluster = await startCluster(t)
  await proposeMany(cluster, 1)
  const formerId = requireLeader(cluster).describe().leaderId ?? ''
  cluster.pauseNode(formerId)
  await cluster.clock.advance(10_000)
  await proposeMany(cluster, 1)
  t.is(cluster.acknowledged.length, 2)
  cluster.resumeNode(formerId, () => void cluster.read(formerId))
  await cluster.clock.advance(5000)
  t.deepEqual(cluster.listViolations(), [])
})

test('a leader that resumes after a pause slightly longer than the election timeout keeps its leadership and term', async (t) => {
  const cluster = await startCluster(t, { seed: 4 })
  const { leaderId = '', term } = requireLeader(cluster).describe()
  cluster.pauseNode(leaderId)
  await cluster.clock.advance(1600)
  cluster.resumeNode(leaderId)
  await cluster.clock.advance(5000)
  t.like(requireLeader(cluster).describe(), { leaderId, term })
})

test('a leader can transfer its leadership right after its election', async (t) => {
  const cluster = await startCluster(t)
  const former = requireLeader(cluster)
  cluster.crashNode(former.describe().leaderId ?? '')
  // The new leader has no answers yet, so that it knows of no follower that is up to date.
  let transfer: Promise<boolean> | undefined
  for (const { raft } of cluster.running.values()) {
    raft.leadership.subscribe(({ role }) => {
      if (role === 'leader') transfer ??= raft.transferLeadership()
    })
  }
  await cluster.clock.advance(10_000)
  t.true(await transfer)
})

test('a leadership transfer tries the next voter if the first one does not answer', async (t) => {
  const cluster = await startCluster(t)
  const former = requireLeader(cluster)
  const [first = '', second = ''] = listFollowers(cluster)
  cluster.links.cutLink(former.describe().leaderId ?? '', first)
  const done = former.transferLeadership()
  await cluster.clock.advance(1500)
  t.true(await done)
  t.is(requireLeader(cluster).describe().leaderId, second)
})

test('a leadership transfer without a reachable voter ends within two election timeouts and one call timeout', async (t) => {
  const cluster = await startCluster(t)
  const former = requireLeader(cluster)
  for (const memberId of listFollowers(cluster)) cluster.crashNode(memberId)
  const startMs = cluster.clock.monotonicMs()
  let tookMs = 0
  const done = former.transferLeadership().then((handedOver) => {
    tookMs = cluster.clock.monotonicMs() - startMs
    return handedOver
  })
  await cluster.clock.advance(10_000)
  await done
  t.true(tookMs <= 2 * 1500 + 750, `${tookMs} ms`)
})
