/**
 * Guards against an entry that stays ready while it is cut off from every member: the balancer goes on sending
 * callers to it, and each of their queries is refused although other entries could answer. An idle entry must also
 * detect a silent connection by itself, and not at the cost of its first caller.
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

test('an idle process detects silent connections before the first call', async (t) => {
  const group = await startWatchedGroup(t)
  for (const at of [0, 1, 2]) group.link(at).silence()
  await group.settle(group.clock.sleep(3000))
  const { outcome, tookMs } = await group.settle(ask(group, 'a'))
  t.is(outcome.extract(), 'completed')
  t.is(tookMs, 0)
})

test('an idle process finds a new leader before the first call', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0])
  group.nameLeader(1, 2, [1, 2])
  await group.settle(group.clock.sleep(3000))
  t.is(group.client.leaderAddress, group.link(1).address)
})

test('a process that no member answers reports this within 4 s, and recovers once a member answers', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0, 1, 2])
  await group.settle(group.clock.sleep(4000))
  t.false(group.client.canReachMembers)
  t.is(group.recorder.findEvents('members.unreachable').length, 1)
  group.link(2).isBlackholed = false
  group.link(2).silence()
  await group.settle(group.clock.sleep(3000))
  t.true(group.client.canReachMembers)
})

test('members that answer but know no leader count as reachable, as in an election', async (t) => {
  const group = await startWatchedGroup(t)
  cutOff(group, [0])
  for (const at of [1, 2]) group.member(at).view = { term: 2, memberAddresses: [] }
  await group.settle(group.clock.sleep(10_000))
  t.true(group.client.canReachMembers)
})
