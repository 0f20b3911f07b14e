/**
 * Members whose disks were full for a moment. The model of a calm group showed on its seeds 20 and 26 that such
 * a member takes part no more until its process starts again: after 0.5 s without room it still refused every
 * entry and every vote as `disk-full` 16 s later, and named a leader of old. Three of them in turn, and a group of
 * five has no majority that writes, though no disk is full any more.
 */
import test from 'ava'
import { checkRecovery, ControlGroup, simulateGroup } from '../__utils__/group/index.js'

const fullMs = 600
const pauseMs = 5000

test('a group whose disks were full one after the other, each for a moment, answers as before', async (t) => {
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

test('schedules with full disks after which members took part no more are survived', async (t) => {
  for (const seed of [20, 26]) {
    const { group } = await simulateGroup(seed)
    t.deepEqual(group.violations, [], `seed ${seed}\n${group.describe()}`)
  }
})
