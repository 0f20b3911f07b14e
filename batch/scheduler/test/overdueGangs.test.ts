/** Gangs that wait long: what goes before them, and when they go before others. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, Fleet } from '../__utils__/index.js'

test('a gang that is late beyond hope still gets its room, against small work that keeps coming', (t) => {
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

test('room is kept for a gang that is overdue, and only what ends in time starts there meanwhile', (t) => {
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

test('a gang that waits beyond its patience still comes after guaranteed work', (t) => {
  const fleet = new Fleet('r1', 'r1')
  fleet.submit(createJob('old', createGang(2, 8)))
  fleet.nowMs = 1_000_000
  fleet.submit(createJob('guaranteed', createGang(1, 8)), 0)
  t.deepEqual(
    fleet.decide().placements.map(({ jobId }) => jobId),
    ['guaranteed'],
  )
})

test('a gang late beyond hope lets others go first until its patience is over', (t) => {
  const startedAt = (nowMs: number): string[] => {
    const fleet = new Fleet('r1')
    fleet.submit(createJob('old', createGang(1, 8)))
    fleet.nowMs = nowMs
    fleet.submit(createJob('timely', createGang(1, 8)))
    return fleet.decide().placements.map(({ jobId }) => jobId)
  }
  // Its objective is 3 s, its run 1 s: a start is of no use any more from 8 s on, and it is patient for 15 s.
  t.deepEqual(startedAt(22_900), ['timely'])
  t.deepEqual(startedAt(23_100), ['old'])
})

test('while half of the room is free, the oldest gang keeps a rack against smaller work', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2', 'r2', 'r2')
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 1 }
  const inRack = (requiredLabel: string, taskCount: number) => ({ taskCount, needs, requiredLabel })
  fleet.submit(createJob('first', inRack('r1', 1)), 0)
  fleet.decide()
  fleet.submit(createJob('small', { ...inRack('r1', 16), expectedRunTimeMs: 5000 }), 0)
  fleet.submit(createJob('gang', { ...createGang(2, 8), requiredLabel: 'r1' }), 1)
  const placed = fleet.decide().placements
  t.deepEqual(placed, [])
})

test('a gang that no empty rack could take stands before nobody', (t) => {
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

/**
 * What users saw: a gang of four whole upstreams waited for 29 s, to the end of the day, while half of the room was
 * free. Each rack held something, and the gang prefers one rack: it was kept from all others, although it would only
 * have been slower there.
 */
test('a gang that has waited for a rack as long as two would cost it starts in two, where half of the room is free', (t) => {
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
  fleet.nowMs = 9_900
  t.deepEqual(fleet.decide().placements, [])
  fleet.nowMs = 10_100
  t.is(fleet.decide().placements.length, 2)
})
