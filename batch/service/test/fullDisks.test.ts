/**
 * Guards against members that stay out of the group after their disk was full for a moment: such a member goes on
 * refusing every entry and every vote as `disk-full` until its process restarts, and names a former leader. Once this
 * has happened to three of five members in turn, no majority can write although no disk is full any more.
 */
import test from 'ava'
import { checkRecovery, ControlGroup, simulateGroup } from '../__utils__/group/index.js'

const fullMs = 600
const pauseMs = 5000

test('a group recovers after each of its disks in turn was full for a moment', async (t) => {
  const group = await ControlGroup.bootstrap(1)
  for (const { disk } of group.members) {
    disk.isFull = true
    await group.clock.advance(fullMs)
    disk.heal()
    await group.clock.advance(pauseMs)
  }
  const { readyAfterMs } = await checkRecovery(group)
  t.deepEqual(group.violations, [], group.trace.slice(-40).join('\n'))
  t.truthy(readyAfterMs)
})

test('a group recovers from fault schedules with full disks that can leave members out', async (t) => {
  for (const seed of [20, 26]) {
    const { group } = await simulateGroup(seed)
    t.deepEqual(group.violations, [], `seed ${seed}\n${group.describe()}`)
  }
})
