import test, { type ExecutionContext } from 'ava'
import { TestCluster } from '../__utils__/index.js'
import type { AppendRequest, RaftNode, VoteRequest } from '../src/index.js'

const payload = Buffer.from([0])

/** One of three voters, to which the test itself plays the others. */
async function startSingleVoter(t: ExecutionContext, seed = 1) {
  const cluster = new TestCluster({ seed, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.startNode('c1')
  const get = () => {
    const node = cluster.running.get('c1')
    if (node === undefined) throw new Error('c1 is down')
    return node.raft
  }
  /** Runs a call while time goes on. */
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await cluster.clock.advance(600)
    return call
  }
  const restart = async () => {
    cluster.crashNode('c1')
    await cluster.startNode('c1')
    await cluster.clock.advance(1600)
  }
  return { cluster, get, run, restart }
}

function append(prevIndex: number, terms: readonly number[]): AppendRequest {
  const entries = terms.map((term) => ({ term, payload }))
  const prevTerm = prevIndex === 0 ? 0 : 1
  return { term: 2, leaderId: 'c2', prevIndex, prevTerm, commitIndex: 0, entries }
}

function vote(candidateId: string, term: number) {
  const log = { lastIndex: 9, lastTerm: 9 }
  return { term, candidateId, diskId: candidateId, ...log, preVote: false, transfer: false }
}

test('a vote outlives a crash: nobody else gets one in the same term', async (t) => {
  const { cluster, get, run, restart } = await startSingleVoter(t)
  await cluster.clock.advance(1600)
  t.true((await run(get().handleVote(vote('c2', 7)))).granted)
  await restart()
  t.false((await run(get().handleVote(vote('c3', 7)))).granted)
  t.true((await run(get().handleVote(vote('c2', 7)))).granted)
})

test('a vote in a term that was known already outlives a crash too', async (t) => {
  const { cluster, get, run, restart } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1])))
  await cluster.clock.advance(1600)
  const { term } = get().describe()
  t.true((await run(get().handleVote(vote('c3', term)))).granted)
  await restart()
  t.false((await run(get().handleVote(vote('c2', term)))).granted)
})

test('an entry of an earlier term is not committed by counting who holds it', async (t) => {
  const { cluster, get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1])))
  // Both peers vote, and acknowledge the old entry but nothing of the new term.
  const createPeer = (diskId: string) => ({
    handleVote: ({ term }: VoteRequest) =>
      Promise.resolve({ term: term - 1, diskId, granted: true }),
    handleAppend: ({ term }: AppendRequest) =>
      Promise.resolve({ term, diskId, accepted: true, matchIndex: 1 }),
  })
  for (const id of ['c2', 'c3'])
    cluster.links.nodes.set(id, createPeer(id) as unknown as RaftNode<number>)
  await cluster.clock.advance(6000)
  t.is(get().describe().role, 'leader')
  t.is(get().describe().commitIndex, 0)
})

test('entries that were acknowledged outlive a crash', async (t) => {
  // The seed decides whether the disk keeps what a crash overtook.
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) await checkAcknowledgedSurviveCrash(t, seed)
})

async function checkAcknowledgedSurviveCrash(t: ExecutionContext, seed: number): Promise<void> {
  const { cluster, get } = await startSingleVoter(t, seed)
  // Nothing of this goes on after the crash: it comes with the answer itself.
  const crashed = get()
    .handleAppend(append(0, [1, 1, 1]))
    .then(() => {
      cluster.crashNode('c1')
    })
  await cluster.clock.advance(600)
  await crashed
  await cluster.startNode('c1')
  t.is(get().describe().lastIndex, 3)
}

test('a late request does not cut off what a newer one brought', async (t) => {
  const { get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1, 1, 1, 1])))
  const late = await run(get().handleAppend(append(0, [1, 1])))
  t.like(late, { accepted: true, matchIndex: 2 })
  t.is(get().describe().lastIndex, 4)
})

test('entries that differ from the leader are cut off, and a gap is refused with where to go on', async (t) => {
  const { get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1, 1, 1, 1])))
  t.like(await run(get().handleAppend(append(2, [2]))), { accepted: true, matchIndex: 3 })
  t.is(get().describe().lastIndex, 3)
  t.like(await run(get().handleAppend(append(8, [2]))), { accepted: false, matchIndex: 3 })
})

test('a snapshot does not remove the entries behind it that were acknowledged', async (t) => {
  const { get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1, 1, 1, 1])))
  const data = Buffer.from('[]')
  const at = { snapshotIndex: 2, snapshotTerm: 1, offset: 0, totalBytes: data.length, data }
  const membership = { membership: { members: [], voters: [] }, takenAt: '2026-01-01T00:00:00Z' }
  const install = { term: 2, leaderId: 'c2', membership, ...at }
  t.like(await run(get().handleInstall(install)), { installed: true })
  t.is(get().describe().lastIndex, 4)
  t.is(get().describe().commitIndex, 2)
})
