/**
 * Guards against urgent work that is late because all capacity went to work with slack and stops take long, and against work
 * that is held back for long or for nothing.
 */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createGang, Fleet } from '../__utils__/index.js'
import { HeadroomWatch } from '../src/index.js'

const claimBounds = { guaranteedStartMsMax: 3400, stopMsMax: 500 }
const learnMs = 5000

/** Four upstreams on which urgent jobs that need one each have come every half second. */
function startFleet(): Fleet {
  const fleet = new Fleet('r1', 'r1', 'r1', 'r1')
  fleet.claimBounds = claimBounds
  fleet.headroom = HeadroomWatch.create(claimBounds)
  fleet.guaranteedAccelerators = 0
  let count = 0
  fleet.playUntil(learnMs, () => {
    if (fleet.nowMs % 500 !== 0) return
    const jobId = `urgent${count++}`
    fleet.submit(createJob(jobId, createGang(1, 8, { expectedRunTimeMs: 300 })), 0)
    fleet.runTimesMs.set(jobId, 300)
  })
  fleet.playUntil(learnMs + 1000)
  return fleet
}

function submitBackground(fleet: Fleet, taskCount: number): void {
  fleet.submit(createJob('background', { taskCount, expectedRunTimeMs: 60_000 }))
}

test('work with slack leaves free what urgent work is expected to claim', (t) => {
  const fleet = startFleet()
  submitBackground(fleet, 32)
  t.is(fleet.decide().placements.length, 24)
  fleet.submit(createJob('urgent', createGang(1, 8, { expectedRunTimeMs: 300 })), 0)
  const { placements, preemptions } = fleet.decide()
  t.deepEqual([placements.length, preemptions.length], [1, 0])
})

test('what is kept free is in pieces that urgent tasks fit in', (t) => {
  const fleet = startFleet()
  submitBackground(fleet, 24)
  fleet.decide()
  const gang = createGang(1, 4, { expectedRunTimeMs: 60_000 })
  fleet.submit(createJob('gang', gang))
  t.deepEqual(fleet.decide().placements, [])
})

test('work of which nothing runs is held back for no longer than 2 s', (t) => {
  const fleet = startFleet()
  fleet.submit(createJob('gang', createGang(4, 8, { expectedRunTimeMs: 60_000 })))
  const fromMs = fleet.nowMs
  t.deepEqual(fleet.playUntil(fromMs + 1900), [])
  t.is(fleet.playUntil(fromMs + 2200).length, 4)
})

test('nothing is kept free without demand of urgent work, nor by a new leader', (t) => {
  const fleet = startFleet()
  fleet.headroom = HeadroomWatch.create(claimBounds)
  submitBackground(fleet, 32)
  t.is(fleet.decide().placements.length, 32)
})

test('demand that has ended is forgotten', (t) => {
  const fleet = startFleet()
  fleet.playUntil(fleet.nowMs + 30_000)
  submitBackground(fleet, 32)
  t.is(fleet.decide().placements.length, 32)
})

test('nothing is kept free where stops take no time or no bounds are set', (t) => {
  t.is(HeadroomWatch.create({ ...claimBounds, stopMsMax: 0 }), undefined)
  t.is(HeadroomWatch.create(undefined), undefined)
})
