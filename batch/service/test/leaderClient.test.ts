/** How the client finds the leader, and which error a caller gets if it finds none. */
import { createJob } from '@nettlespur/batch.samples'
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test, { type ExecutionContext } from 'ava'
import {
  createLocalApi,
  MemberGroup,
  peerKey,
  startFakeMember,
  type FakeMember,
} from '../__utils__/index.js'
import { LeaderClient, type LeaderClientOptions } from '../src/index.js'

const logger = { debug: noop, info: noop, warn: noop, error: noop }

async function startMembers(t: ExecutionContext): Promise<[FakeMember, FakeMember]> {
  const members = [await startFakeMember(), await startFakeMember()] as [FakeMember, FakeMember]
  for (const member of members) {
    t.teardown(() => member.stop())
  }
  return members
}

function createClient(
  t: ExecutionContext,
  seeds: readonly FakeMember[],
  patienceMs: number,
  local?: LeaderClientOptions['local'],
) {
  const client = new LeaderClient({
    clock: new SystemClock(),
    logger,
    metrics: new MetricsRegistry(),
    peerKey,
    seeds: seeds.map(({ address }) => address),
    callTimeoutMs: patienceMs,
    patienceMs,
    local,
  })
  t.teardown(() => {
    client.close()
  })
  return client
}

function submit(client: LeaderClient) {
  return client.submitJob({ host: 'h', path: '/q/j', request: createJob('j', {}) }).run()
}

function nameLeader(leader: FakeMember, term: number, ...members: FakeMember[]): void {
  for (const member of members) {
    member.view = { leaderAddress: leader.address, term, memberAddresses: [leader.address] }
  }
}

test('a leader that is not a seed is found through a seed that names it', async (t) => {
  const [seed, leader] = await startMembers(t)
  nameLeader(leader, 1, seed)
  const outcome = await submit(createClient(t, [seed], 5000))
  t.true(outcome.isRight())
  t.deepEqual([seed.submitted, leader.submitted], [[], ['j']])
})

test('if two members name different leaders, the call goes to the one of the higher term', async (t) => {
  // Uses the manual clock: under load one of the two answers could come after the 300 ms of a search and be missed.
  const group = await MemberGroup.start(2, { callTimeoutMs: 5000, patienceMs: 5000 })
  t.teardown(() => group.stop())
  group.nameLeader(0, 1, [0])
  group.nameLeader(1, 2, [1])
  const { outcome } = await group.settle(submit(group.client))
  t.true(outcome.isRight())
  t.deepEqual([group.member(0).submitted, group.member(1).submitted], [[], ['j']])
})

test('a call that a former leader refuses is sent to the leader that the refusal names', async (t) => {
  const [former, leader] = await startMembers(t)
  nameLeader(former, 1, former)
  former.answer = () =>
    Promise.reject(new NettlespurError('not-leader', 'no more', { hint: leader.address }))
  t.true((await submit(createClient(t, [former], 5000))).isRight())
  t.deepEqual(leader.submitted, ['j'])
})

test('a call that finds no leader fails as not run, with a delay after which to retry', async (t) => {
  const [seed] = await startMembers(t)
  const error = (await submit(createClient(t, [seed], 200))).swap().unsafeCoerce()
  t.is(error.kind, 'not-leader')
  t.is(error.answer.ran, 'no')
  t.true((error.retryAfterMs ?? 0) > 0)
})

test('a call that may have reached a leader is never reported as not run', async (t) => {
  // Uses the manual clock: on a busy machine the search alone could use up the time, and the call reach no member.
  const group = await MemberGroup.start(2, { callTimeoutMs: 300, patienceMs: 300 })
  t.teardown(() => group.stop())
  group.nameLeader(0, 1, [0, 1])
  group.member(0).answer = () => {
    // From now on no member knows a leader, so the last attempt by itself is certain not to have run.
    for (const at of [0, 1]) group.member(at).view = { term: 2, memberAddresses: [] }
    return Promise.reject(new NettlespurError('outcome-unknown', 'in doubt'))
  }
  const { outcome } = await group.settle(submit(group.client))
  const error = outcome.swap().unsafeCoerce()
  t.deepEqual(group.member(0).submitted, ['j'])
  t.is(error.kind, 'outcome-unknown')
  t.is(error.answer.ran, 'unknown')
})

test('a call waits for a newly elected leader that is not ready yet', async (t) => {
  const [elected] = await startMembers(t)
  nameLeader(elected, 1, elected)
  let isReady = false
  const api = createLocalApi(() => {
    if (isReady) return Promise.resolve(null)
    // Readiness comes as an event, which is handled only if the waiting call yields to the event loop.
    setImmediate(() => {
      isReady = true
    })
    return Promise.reject(new NettlespurError('not-leader', 'soon', { hint: elected.address }))
  })
  const client = createClient(t, [elected], 2000, { address: elected.address, api })
  t.true((await submit(client)).isRight())
})

test('an error from the leader itself is returned at once, without a retry', async (t) => {
  const [leader] = await startMembers(t)
  nameLeader(leader, 1, leader)
  leader.answer = () => Promise.reject(new NettlespurError('unauthorized', 'wrong key'))
  const error = (await submit(createClient(t, [leader], 5000))).swap().unsafeCoerce()
  t.is(error.kind, 'unauthorized')
  t.is(leader.submitted.length, 1)
})

function noop(): void {
  // Log lines are discarded.
}
