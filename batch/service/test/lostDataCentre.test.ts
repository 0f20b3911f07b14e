/**
 * The loss of a whole data centre, with the five members spread over three as 2, 2 and 1. Guards against a group that
 * cannot lead, or does not answer, without it, or has lost accepted jobs as it comes back.
 */
import test, { type ExecutionContext } from 'ava'
import { checkRecovery, ControlGroup, platformElectionTimeoutMs } from '../__utils__/group/index.js'

const dataCentres = ['dc0', 'dc1', 'dc2']
const awayMs = 6000

async function startGroup(seed: number, dataCentre: string) {
  const group = await ControlGroup.bootstrap(seed, platformElectionTimeoutMs)
  const inside = group.members.filter(({ member }) => member.dataCentre === dataCentre)
  const outside = group.members.filter((member) => !inside.includes(member))
  return { group, inside, outside }
}

async function assertRecovers(t: ExecutionContext, group: ControlGroup): Promise<void> {
  await checkRecovery(group)
  t.deepEqual(group.violations, [], group.describe())
}

for (const [at, dataCentre] of dataCentres.entries()) {
  test(`the group leads and answers without ${dataCentre}, which has lost power, and with it again`, async (t) => {
    const { group, inside } = await startGroup(at + 1, dataCentre)
    for (const member of inside) member.losePower()
    await assertRecovers(t, group)
    for (const member of inside) member.start()
    await assertRecovers(t, group)
  })

  test(`the group leads without ${dataCentre} while it is cut off whole, and all agree afterwards`, async (t) => {
    const { group, inside, outside } = await startGroup(at + 11, dataCentre)
    const { links, clock } = group
    for (const { member } of inside) {
      for (const { member: other } of outside) {
        links.cutOneWay(member.memberId, other.memberId)
        links.cutOneWay(other.memberId, member.memberId)
      }
    }
    const acceptedBefore = group.acceptedJobIds.length
    await clock.advance(awayMs)
    t.true(outside.some((member) => member === group.leader))
    t.true(group.acceptedJobIds.length > acceptedBefore)
    links.heal()
    await assertRecovers(t, group)
  })
}
