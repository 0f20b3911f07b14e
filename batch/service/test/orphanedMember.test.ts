/**
 * A new member that only a leader of old had added. The model of a calm group showed it on seed 50035: the leader,
 * cut off from the majority, added the newcomer and sent it that entry; the next leader overwrote it and knows of no
 * newcomer. That one found itself in its own log, so that it did not ask to be added again: it stood outside for
 * good, named the leader of old to whoever asked, and the group went on with one member too few.
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

test('the schedules that left a newcomer outside are survived', async (t) => {
  for (const seed of [50035, 40127]) {
    const { group } = await simulateGroup(seed)
    t.deepEqual(group.violations, [], `seed ${seed}\n${group.describe()}`)
  }
})
