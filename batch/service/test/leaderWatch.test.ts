/**
 * What users saw: state queries that reached an entry cut off from every member ended without an answer for as
 * long as the cut lasted, while other entries answered. The entry said that it was ready, so the balancer went on
 * sending callers to it; and an entry that had been idle learnt of a silent connection from its first caller.
 *
 * Evidence: on a day with three of eight entries cut off for 6 s, one of them refused 20 queries in a row after
 * 1.0 to 1.3 s each, and was ready all the while.
 */
import test from 'ava'
import { startWatchedGroup, type MemberGroup } from '../__utils__/index.js'

function ask({ client }: MemberGroup, jobId: string) {
  return client.getJobState({ host: 'h', path: `/q/${jobId}`, jobId }).run()
}

function cutOff(group: MemberGroup, members: readonly number[]): void {
  for (const at of members) {
    group.link(at).silence()
    group.link(at).isBlackholed = true
  }
}

test('an idle process learns that its connections went silent before anyone calls', async (t) => {
  const group = await startWatchedGroup(t)
  for (const at of [0, 1, 2]) group.link(at).silence()
  await group.settle(group.clock.sleep(3000))
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.is(outcome.extract(), 'completed')
  t.is(tookMs, 0)
})

test('an idle process learns of another leader before anyone calls', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0])
  group.nameLeader(1, 2, [1, 2])
  await group.settle(group.clock.sleep(3000))
  t.is(group.client.leaderAddress, group.link(1).address)
})

test('a process that no member answers says so within 4 s, and is back once one does', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0, 1, 2])
  await group.settle(group.clock.sleep(4000))
  t.false(group.client.reachesMembers)
  t.is(group.recorder.named('members.unreachable').length, 1)
  group.link(2).isBlackholed = false
  group.link(2).silence()
  await group.settle(group.clock.sleep(3000))
  t.true(group.client.reachesMembers)
})

test('a member that knows no leader is an answer: an election is no isolation', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0])
  for (const at of [1, 2]) group.member(at).view = { term: 2, memberAddresses: [] }
  await group.settle(group.clock.sleep(10_000))
  t.true(group.client.reachesMembers)
})
