/**
 * Guards against a new member that stays out of the group because only a former leader has added it. A leader that is
 * cut off from the majority adds the newcomer and sends it that entry; the next leader overwrites the entry and does
 * not know the newcomer. If the newcomer takes its own log for proof that it is a member, it never asks to be added
 * again: it goes on naming the former leader, and the group is one member short.
 */
import test from 'ava'
import { checkRecovery, ControlGroup, simulateGroup } from '../__utils__/group/index.js'

const joinedMs = 450
const electedMs = 5000

test('a newcomer whose addition was never committed asks again and is added', async (t) => {
  const group = await ControlGroup.bootstrap(1)
  const { leader, links, clock } = group
  for (const other of group.members) {
    if (leader === undefined || other === leader) continue
    links.cutOneWay(leader.member.memberId, other.member.memberId)
    links.cutOneWay(other.member.memberId, leader.member.memberId)
  }
  group.addMember()
  await clock.advance(joinedMs)
  const newcomer = group.members.at(-1)
  t.true(newcomer?.node?.isMember)
  await clock.advance(electedMs)
  links.heal()
  const { readyAfterMs } = await checkRecovery(group)
  t.deepEqual(group.violations, [], group.describe())
  t.truthy(readyAfterMs)
  const { members = [] } = group.leader?.node?.raft.describe() ?? {}
  t.true(members.some(({ memberId }) => memberId === newcomer?.member.memberId))
})

test('a group recovers from fault schedules that can leave a newcomer out', async (t) => {
  for (const seed of [50035, 40127]) {
    const { group } = await simulateGroup(seed)
    t.deepEqual(group.violations, [], `seed ${seed}\n${group.describe()}`)
  }
})
