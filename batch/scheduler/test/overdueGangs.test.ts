/** Gangs that wait long: what is placed before them, and when they are promoted. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, delayMaxMs, Fleet } from '../__utils__/index.js'

test('an overdue gang gets its capacity although small work keeps arriving', (t) => {
  const fleet = new Fleet('r1', 'r1')
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
  fleet.submit(createJob('small', { taskCount: 16, needs }))
  const [first] = fleet.decide().placements
  fleet.submit(createJob('gang', createGang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('more', { taskCount: 1, needs, expectedRunTimeMs: 5000 }))
  if (first !== undefined) fleet.end(first, 'done')
  t.deepEqual(fleet.decide().placements, [])
})

test('capacity is reserved for an overdue gang, and only tasks that end before its start are backfilled', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('first', createGang(1, 4)))
  fleet.decide()
  fleet.submit(createJob('waits', createGang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('long', { expectedRunTimeMs: 5000 }))
  fleet.submit(createJob('short', { expectedRunTimeMs: 900 }))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['short'],
  )
})

test('an overdue gang does not take the capacity that an urgent job has freed for itself', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.guaranteedAccelerators = 0
  fleet.submit(createJob('overdue', createGang(1, 4)))
  fleet.nowMs = 1_000_000
  t.is(fleet.decide().placements.length, 1)
  fleet.submit(createJob('urgent', createGang(2, 8)), 0)
  const started = fleet.playUntil(fleet.nowMs + 500).map(({ jobId }) => jobId)
  t.deepEqual(started, ['urgent', 'urgent'])
})

test('an overdue gang still comes after guaranteed work', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('old', createGang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('guaranteed', createGang(1, 8)), 0)
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['guaranteed'],
  )
})

test('a gang past its last useful start is promoted only after the grace period', (t) => {
  const startedAt = (nowMs: number): string[] => {
    const fleet = new Fleet('r1')
    fleet.submit(createJob('old', createGang(1, 8)))
    fleet.nowMs = nowMs
    fleet.submit(createJob('timely', createGang(1, 8)))
    return fleet.decide().placements.map(({ jobId }) => jobId)
  }
  // The objective is 3 s and the run time 1 s, so the last useful start is at 8 s; the grace period is 15 s.
  t.deepEqual(startedAt(22_900), ['timely'])
  t.deepEqual(startedAt(23_100), ['old'])
})

test('while half of the pool is free, the oldest gang goes before smaller work in its rack', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2', 'r2', 'r2')
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
  const inRack = (requiredLabel: string, taskCount: number) => ({ taskCount, needs, requiredLabel })
  fleet.submit(createJob('first', inRack('r1', 1)), 0)
  fleet.decide()
  fleet.submit(createJob('small', { ...inRack('r1', 16), expectedRunTimeMs: 5000 }))
  const gang = createGang(2, 8, { requiredLabel: 'r1', expectedRunTimeMs: 10_000 })
  fleet.submit(createJob('gang', gang))
  const placed = fleet.decide().placements
  t.deepEqual(placed, [])
})

test('a gang that would not fit on empty upstreams is not promoted', (t) => {
  const fleet = new Fleet('r1')
  fleet.submit(createJob('impossible', createGang(2, 8)))
  fleet.submit(createJob('old', createGang(1, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('timely', createGang(1, 8)))
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['old'],
  )
})

test('a gang waits for one rack at first, and spans two within 3 s if half of the pool is free', (t) => {
  const racks = ['r1', 'r2', 'r3', 'r4']
  const fleet = new Fleet(...racks.flatMap((rack) => [rack, rack]))
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }
  for (const requiredLabel of racks) {
    fleet.submit(createJob(`in-${requiredLabel}`, { taskCount: 1, needs, requiredLabel }), 0)
  }
  t.is(fleet.decide().placements.length, racks.length)
  fleet.submit(
    createJob('gang', { ...createGang(2, 8), prefersOneRack: true, expectedRunTimeMs: 5000 }),
  )
  t.deepEqual(fleet.playUntil(1900), [])
  t.is(fleet.playUntil(delayMaxMs).length, 2)
})
