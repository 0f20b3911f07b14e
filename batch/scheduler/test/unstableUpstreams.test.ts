/** Guards against gangs that break with a member on an upstream that is likely to fail, and against waits for stable ones. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, createGradedFleet, Fleet } from '../__utils__/index.js'

const half = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 4 }

/** Upstream `u0` is unstable and the tightest fit. */
function createFleet(...racks: string[]): Fleet {
  const fleet = new Fleet(...racks)
  fleet.resize('u0', 4)
  fleet.unstable.add('u0')
  return fleet
}

function place(fleet: Fleet, jobId: string): string[] {
  const placed = fleet.decide().placements.filter((run) => run.jobId === jobId)
  return placed.map(({ upstreamId }) => upstreamId)
}

test('gangs and urgent tasks get stable upstreams, single tasks with slack an unstable one', (t) => {
  const fleet = createFleet('r1', 'r1', 'r1')
  fleet.submit(createJob('gang', createGang(2, 4)))
  t.false(place(fleet, 'gang').includes('u0'))
  fleet.submit(createJob('urgent', { needs: half }), 0)
  t.false(place(fleet, 'urgent').includes('u0'))
  const idle = createFleet('r1', 'r1', 'r1')
  idle.submit(createJob('task', { needs: half }))
  t.deepEqual(place(idle, 'task'), ['u0'])
})

test('a gang and urgent tasks that only unstable upstreams have room for start there at once', (t) => {
  const fleet = createFleet('r1', 'r1')
  fleet.submit(createJob('gang', createGang(3, 4)))
  t.deepEqual(place(fleet, 'gang').sort(), ['u0', 'u1', 'u1'])
  const urgent = createFleet('r1', 'r1')
  urgent.submit(createJob('urgent', { taskCount: 3, needs: half }), 0)
  t.deepEqual(place(urgent, 'urgent').sort(), ['u0', 'u1', 'u1'])
})

test('a gang that wants one rack takes a rack with an unstable upstream rather than wait or be spread', (t) => {
  const fleet = createFleet('r1', 'r1', 'r2')
  fleet.submit(createJob('gang', createGang(3, 4, { prefersOneRack: true })))
  t.deepEqual(place(fleet, 'gang').sort(), ['u0', 'u1', 'u1'])
})

test('nothing is preempted so that a gang gets stable upstreams', (t) => {
  const fleet = createFleet('r1', 'r1')
  fleet.submit(createJob('task', { needs: { ...half, accelerators: 8 } }))
  fleet.decide()
  fleet.stopCosts.set('task', 0.1)
  fleet.submit(createJob('urgent', createGang(1, 4)), 0)
  const { placements, preemptions } = fleet.decide()
  t.is(placements.length, 1)
  t.deepEqual(preemptions, [])
})

test('an urgent gang takes unstable upstreams that are fast enough rather than stable ones that are too slow', (t) => {
  const fleet = createGradedFleet(1)
  fleet.unstable.add('u1').add('u2')
  fleet.submit(createJob('urgent', createGang(2, 8, { expectedRunTimeMs: 2000 })), 0)
  t.deepEqual(place(fleet, 'urgent').sort(), ['u1', 'u2'])
})

/** Plays gangs while upstream `u0` fails at every second round, and returns how many gangs break with it. */
function countBrokenGangs(isKnown: boolean): number {
  const fleet = new Fleet(...Array.from({ length: 8 }, (_, at) => `r${at % 2}`))
  if (isKnown) fleet.unstable.add('u0')
  let broken = 0
  for (let at = 0; at < 40; at++) {
    fleet.submit(createJob(`gang${at}`, createGang(1 + (at % 3), 4)))
    fleet.runTimesMs.set(`gang${at}`, 500)
    fleet.playUntil(fleet.nowMs + 200)
    const [lost] = fleet.state.placements.getByUpstream('u0').values()
    if (at % 2 === 0 || lost === undefined) continue
    broken += 1
    fleet.crash(lost)
  }
  return broken
}

test('fewer gangs break if it is known which upstream goes down and up by turns', (t) => {
  t.is(countBrokenGangs(true), 0)
  t.true(countBrokenGangs(false) > 5)
})
