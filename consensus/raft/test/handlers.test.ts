import test, { type ExecutionContext } from 'ava'
import { TestCluster } from '../__utils__/index.js'
import type { AppendRequest, RaftNode, VoteRequest } from '../src/index.js'

const payload = Buffer.from([0])

/** Starts one of three voters; the test sends the requests of the other two. */
async function startSingleVoter(t: ExecutionContext, seed = 1) {
  const cluster = new TestCluster({ seed, voters: 3 })
  t.teardown(() => cluster.close())
  await cluster.startNode('c1')
  const get = () => {
    const node = cluster.running.get('c1')
    if (node === undefined) throw new Error('c1 is down')
    return node.raft
  }
  /** Advances the clock so that the call can end, and returns its result. */
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

test('a vote survives a crash: no other candidate gets one in the same term', async (t) => {
  const { cluster, get, run, restart } = await startSingleVoter(t)
  await cluster.clock.advance(1600)
  t.true((await run(get().handleVote(vote('c2', 7)))).granted)
  await restart()
  t.false((await run(get().handleVote(vote('c3', 7)))).granted)
  t.true((await run(get().handleVote(vote('c2', 7)))).granted)
})

test('a vote in a term that the voter knew before survives a crash', async (t) => {
  const { cluster, get, run, restart } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1])))
  await cluster.clock.advance(1600)
  const { term } = get().describe()
  t.true((await run(get().handleVote(vote('c3', term)))).granted)
  await restart()
  t.false((await run(get().handleVote(vote('c2', term)))).granted)
})

test('an entry of an earlier term is not committed merely because a majority holds it', async (t) => {
  const { cluster, get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1])))
  // Both peers grant their votes and acknowledge the old entry, but no entry of the new term.
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

test('acknowledged entries survive a crash', async (t) => {
  // The seed decides whether a write that is pending at the crash reaches the disk.
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) await checkAcknowledgedSurviveCrash(t, seed)
})

async function checkAcknowledgedSurviveCrash(t: ExecutionContext, seed: number): Promise<void> {
  const { cluster, get } = await startSingleVoter(t, seed)
  // The crash follows the answer at once, so that no later write can store the entries.
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

test('a delayed append request does not truncate the entries of a newer one', async (t) => {
  const { get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1, 1, 1, 1])))
  const late = await run(get().handleAppend(append(0, [1, 1])))
  t.like(late, { accepted: true, matchIndex: 2 })
  t.is(get().describe().lastIndex, 4)
})

test('conflicting entries are truncated, and a request that leaves a gap is refused with the last matching index', async (t) => {
  const { get, run } = await startSingleVoter(t)
  await run(get().handleAppend(append(0, [1, 1, 1, 1])))
  t.like(await run(get().handleAppend(append(2, [2]))), { accepted: true, matchIndex: 3 })
  t.is(get().describe().lastIndex, 3)
  t.like(await run(get().handleAppend(append(8, [2]))), { accepted: false, matchIndex: 3 })
})

test('installing a snapshot keeps the acknowledged entries that follow it', async (t) => {
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
