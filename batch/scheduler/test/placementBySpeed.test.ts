/**
 * Guards against urgent work that is late because it was placed on upstreams that are too slow for it, and against the
 * rules that prevent this holding up other work or changing decisions where speeds do not matter.
 */
import { certainSpeed, type SpeedDistribution } from '@nettlespur/batch.speeds'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, createGradedFleet, Fleet, SpeedLoad } from '../__utils__/index.js'

const small = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
const whole = { ...small, accelerators: 8 }

/** Urgent gangs among single tasks and large gangs that together use about half of the accelerators. */
function playMixedLoad(areKnown: boolean): SpeedLoad {
  const load = new SpeedLoad(createGradedFleet(8, areKnown))
  for (let at = 0; at < 60; at++) {
    load.submitUrgent(`urgent${at}`, 1 + (at % 4), 4)
    if (at % 5 === 0) {
      load.submit(`large${at}`, createGang(6, 8, { expectedRunTimeMs: 4000 }), 1)
      load.submit(`tasks${at}`, { taskCount: 12, needs: small, expectedRunTimeMs: 3000 }, 1)
    }
    load.play(300)
  }
  load.play(20_000)
  return load
}

test('urgent gangs end on time while fast upstreams have room, and without known speeds they do not', (t) => {
  t.deepEqual(playMixedLoad(true).listLate(), [])
  t.true(playMixedLoad(false).listLate().length > 10)
})

test('a slow third of the fleet does not starve: it is in use as much as the rest', (t) => {
  const load = playMixedLoad(true)
  t.true(load.measureUse((speed) => speed < 1) >= load.measureUse((speed) => speed >= 1))
  const slow = load.placements.filter(({ upstreamId }) => load.fleet.paces.get(upstreamId) === 0.6)
  t.true(slow.filter(({ jobId }) => jobId.startsWith('large')).length >= 6)
})

test('no job is left over though the whole fleet is slow', (t) => {
  const fleet = createGradedFleet(2)
  for (const id of fleet.paces.keys()) {
    fleet.paces.set(id, 0.6)
    fleet.speeds.set(id, certainSpeed(0.6))
  }
  const load = new SpeedLoad(fleet)
  for (let at = 0; at < 4; at++) load.submitUrgent(`urgent${at}`, 1, 8)
  load.submit('tasks', { taskCount: 20, needs: small, expectedRunTimeMs: 1000 }, 1)
  t.is(fleet.decide().placements.length, 4 + 16)
})

test('the members of a gang with slack are either all slow or all not slow', (t) => {
  for (const [taskCount, isSlow] of [
    [4, true],
    [8, false],
  ] as const) {
    const load = new SpeedLoad(createGradedFleet(4))
    load.submit('gang', createGang(taskCount, 8, { expectedRunTimeMs: 4000 }), 1)
    load.play(0)
    const speeds = load.speedsOf('gang')
    t.is(speeds.length, taskCount)
    t.true(speeds.every((speed) => speed < 1 === isSlow))
  }
})

test('a gang that fits neither on slow upstreams nor on the others alone is spread over both', (t) => {
  const load = new SpeedLoad(createGradedFleet(4))
  load.submit('gang', createGang(10, 8, { expectedRunTimeMs: 4000 }), 1)
  load.play(0)
  t.is(load.speedsOf('gang').length, 10)
})

test('work with slack leaves fast upstreams to urgent work that comes later', (t) => {
  const load = new SpeedLoad(createGradedFleet(4))
  load.submit('tasks', { taskCount: 16, needs: small, expectedRunTimeMs: 9000 }, 1)
  load.play(0)
  load.submitUrgent('urgent', 8, 8)
  load.play(0)
  t.true(load.speedsOf('tasks').every((speed) => speed === 0.6))
  t.is(load.speedsOf('urgent').length, 8)
})

test('work with slack takes fast upstreams rather than wait', (t) => {
  const load = new SpeedLoad(createGradedFleet(2))
  load.submit('tasks', { taskCount: 48, needs: small, expectedRunTimeMs: 9000 }, 1)
  load.play(0)
  t.is(load.speedsOf('tasks').length, 48)
})

test('single tasks with slack run first where the speed is not known, one on each upstream, and then on slow ones', (t) => {
  const fleet = createGradedFleet(4)
  for (const id of ['u4', 'u5']) fleet.speeds.delete(id)
  const load = new SpeedLoad(fleet)
  load.submit('tasks', { taskCount: 6, needs: small, expectedRunTimeMs: 9000 }, 1)
  load.play(0)
  const on = load.placements.map(({ upstreamId }) => upstreamId)
  t.deepEqual(on.slice(0, 2).sort(), ['u4', 'u5'])
  t.deepEqual(load.speedsOf('tasks').slice(2), [0.6, 0.6, 0.6, 0.6])
})

function isPlacedBySpeed(slowCount: number, knownCount: number, usualSpeed = 1): boolean {
  const fleet = createGradedFleet(40, false)
  for (let at = 0; at < knownCount; at++) {
    fleet.speeds.set(`u${at}`, certainSpeed(at < slowCount ? 0.6 * usualSpeed : usualSpeed))
  }
  fleet.submit(createJob('urgent', createGang(1, 8)), 0)
  return fleet.decide().speed !== undefined
}

test('a pool of which little is known is placed by speed if at least four and 0.15 of the known upstreams are slow', (t) => {
  t.true(isPlacedBySpeed(8, 53))
  t.false(isPlacedBySpeed(8, 54))
  t.true(isPlacedBySpeed(4, 20))
  t.false(isPlacedBySpeed(3, 10))
  t.true(isPlacedBySpeed(12, 120))
  t.false(isPlacedBySpeed(11, 120))
})

test('a pool whose upstreams all seem slow is not placed by speed, and one with slower ones among them is', (t) => {
  t.false(isPlacedBySpeed(0, 120, 0.6))
  t.true(isPlacedBySpeed(12, 60, 0.6))
})

test('upstreams of unknown speed count as slow neither for the pool nor for a unit', (t) => {
  const fleet = createGradedFleet(1)
  for (const id of ['u1', 'u2']) fleet.speeds.delete(id)
  const load = new SpeedLoad(fleet)
  load.submitUrgent('urgent', 2, 8)
  load.play(0)
  t.deepEqual(new Set(load.placements.map(({ upstreamId }) => upstreamId)), new Set(['u1', 'u2']))
  const doubtful: SpeedDistribution = { atLeast: () => 0, mean: 0.4, isKnown: false }
  const unknown = new Fleet('r1', 'r1')
  for (const id of ['u0', 'u1']) unknown.speeds.set(id, doubtful)
  const unknownLoad = new SpeedLoad(unknown)
  unknownLoad.submitUrgent('urgent', 1, 8)
  t.is(unknown.decide().speed, undefined)
})

/** A fleet of one rack on which only the slow upstream is free. */
function occupyFast(stopCost = 1000): SpeedLoad {
  const load = new SpeedLoad(createGradedFleet(1))
  load.fleet.availability.set('u0', 'excluded')
  load.submit('long', { taskCount: 2, needs: whole, expectedRunTimeMs: 60_000 }, 1)
  load.fleet.stopCosts.set('long', stopCost)
  load.play(0)
  load.fleet.availability.delete('u0')
  return load
}

test('an urgent job waits for a fast upstream that becomes free in time', (t) => {
  const load = occupyFast()
  load.submitUrgent('urgent', 1, 8)
  load.play(400)
  t.deepEqual(load.speedsOf('urgent'), [])
  const [run] = load.placements
  if (run !== undefined) load.fleet.end(run, 'done')
  load.play(0)
  t.true(load.speedsOf('urgent').every((speed) => speed >= 1))
  t.is(load.speedsOf('urgent').length, 1)
})

test('an urgent job takes a slow upstream after it has waited for 1 s', (t) => {
  for (const guaranteed of [0, 16]) {
    const load = occupyFast()
    load.fleet.guaranteedAccelerators = guaranteed
    load.submitUrgent('urgent', 1, 8, 4000)
    load.play(800)
    t.deepEqual(load.speedsOf('urgent'), [])
    load.play(300)
    t.deepEqual(load.speedsOf('urgent'), [0.6])
  }
})

test('an urgent job takes a slow upstream at once if it ends on time there, or is late on any', (t) => {
  const load = occupyFast()
  // It ends on time at a speed of 0.6.
  load.submitUrgent('short', 1, 8, 300)
  load.play(0)
  t.deepEqual(load.speedsOf('short'), [0.6])
  const late = occupyFast()
  late.fleet.guaranteedAccelerators = 0
  late.fleet.availability.set('u0', 'excluded')
  late.submitUrgent('urgent', 1, 8)
  late.play(900)
  t.deepEqual(late.speedsOf('urgent'), [])
  late.fleet.nowMs += 10_000
  late.fleet.availability.delete('u0')
  late.play(0)
  t.deepEqual(late.speedsOf('urgent'), [0.6])
})

test('for the sake of speed even guaranteed work preempts only runs that are worth less than itself', (t) => {
  const countPreempted = (stopCost: number) => {
    const load = occupyFast(stopCost)
    load.submitUrgent('urgent', 1, 8)
    return load.fleet.decide().preemptions.length
  }
  // The urgent job is one task of 65 cores for two seconds.
  t.is(countPreempted(129), 1)
  t.is(countPreempted(131), 0)
})

test('guaranteed work preempts at any cost if no upstream has room, the fast ones first', (t) => {
  const load = new SpeedLoad(createGradedFleet(1))
  load.submit('long', { taskCount: 3, needs: whole, expectedRunTimeMs: 60_000 }, 1)
  load.fleet.stopCosts.set('long', 1000)
  load.play(0)
  load.submitUrgent('urgent', 1, 8)
  const [preemption] = load.fleet.decide().preemptions
  t.not(preemption?.run.upstreamId, 'u0')
  t.truthy(preemption)
})

test('guaranteed work starts within its bound though only slow upstreams have room', (t) => {
  const startBoundMs = 2900
  const load = occupyFast()
  load.submitUrgent('urgent', 1, 8, 20_000)
  load.play(startBoundMs - 900)
  t.is(load.speedsOf('urgent').length, 1)
})

test('guaranteed work preempts on slow upstreams after 1 s if nothing may be preempted on fast ones', (t) => {
  const load = new SpeedLoad(createGradedFleet(1))
  load.fleet.guaranteedAccelerators = 24
  load.fleet.availability.set('u0', 'excluded')
  load.submit('older', { taskCount: 2, needs: whole, expectedRunTimeMs: 60_000 }, 0)
  load.play(0)
  load.fleet.availability.delete('u0')
  load.submit('borrower', { taskCount: 1, needs: whole, expectedRunTimeMs: 60_000 }, 1)
  load.play(0)
  load.submitUrgent('urgent', 1, 8, 4000)
  load.fleet.nowMs += 900
  t.deepEqual(load.fleet.decide().preemptions, [])
  load.fleet.nowMs += 100
  const [preemption] = load.fleet.decide().preemptions
  t.is(preemption?.run.upstreamId, 'u0')
  t.is(preemption?.run.jobId, 'borrower')
})

test('a round says which speeds were needed and chosen, and which units are held back', (t) => {
  const load = occupyFast()
  load.submitUrgent('urgent', 1, 8)
  const { pools, choices, held } = load.fleet.decide().speed ?? {}
  t.deepEqual(choices, [])
  t.deepEqual(held, [{ jobId: 'urgent', step: 0 }])
  t.deepEqual(pools, [{ pool: 'pool', urgentSpeed: 1.15 / 1.5, slowUpstreams: 1, upstreams: 3 }])
  load.fleet.nowMs += 1000
  const [choice] = load.fleet.decide().speed?.choices ?? []
  t.is(choice?.lowestSpeed, 0.6)
  t.true(choice?.isTooSlow)
})
