/** Upstreams whose capacity shrinks and grows while they run, and that start tasks without checking that they fit. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { FakeFleet, upstreamCount } from '../__utils__/index.js'

const links = { clockRate: 1, lateMs: 1000, failures: [], linksMs: [1, 2, 3] }
const settledMs = 2000
/** This long after a capacity shrank, starts beyond it count as violations. */
const graceMs = 4500

function startFleet(): FakeFleet {
  const fleet = new FakeFleet({ ...links, guardsCapacity: false })
  fleet.elect()
  return fleet
}

function createOneAcceleratorJob(jobId: string, taskCount: number) {
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 1 }
  return createJob(jobId, { taskCount, needs, expectedRunTimeMs: 20_000 })
}

test('a late announcement does not give a new leader the capacity that an upstream had before it shrank', async (t) => {
  const fleet = startFleet()
  await fleet.clock.advance(settledMs)
  const upstreamId = fleet.upstreamIdOf(0)
  const before = fleet.state.upstreams.get(upstreamId)?.description
  if (before === undefined) return t.fail()
  fleet.resize(0, 2)
  await fleet.clock.advance(settledMs)
  t.is(fleet.state.upstreams.get(upstreamId)?.description.capacity.accelerators, 2)
  fleet.stopAnnouncing(0)
  fleet.elect()
  await fleet.clock.advance(100)
  const late = { ...before, isDraining: false, sequence: 1, clockMs: 1 }
  await Promise.all([fleet.leader?.announce(late), fleet.clock.advance(100)])
  t.is(fleet.state.upstreams.get(upstreamId)?.description.capacity.accelerators, 2)
})

test('an upstream gets no more work than its shrunk capacity holds, and more once its capacity has grown again', async (t) => {
  const fleet = startFleet()
  await fleet.clock.advance(settledMs)
  for (let at = 0; at < upstreamCount; at++) fleet.resize(at, 2)
  await fleet.clock.advance(graceMs)
  fleet.submit(createOneAcceleratorJob('j', 20), 1)
  await fleet.clock.advance(settledMs)
  t.is(fleet.ledger.starts.length, 2 * upstreamCount)
  for (let at = 0; at < upstreamCount; at++) fleet.resize(at, 8)
  await fleet.clock.advance(graceMs)
  t.is(fleet.ledger.starts.length, 20)
  t.deepEqual(fleet.ledger.violations, [])
})

const schedule = fc.record({
  jobs: fc.array(
    fc.record({
      atMs: fc.nat(15_000),
      priority: fc.nat(2),
      taskCount: fc.integer({ min: 1, max: 6 }),
      accelerators: fc.integer({ min: 1, max: 4 }),
      expectedRunTimeMs: fc.integer({ min: 50, max: 6000 }),
      isGang: fc.boolean(),
    }),
    { minLength: 4, maxLength: 10 },
  ),
  sizes: fc.array(
    fc.record({
      atMs: fc.nat(15_000),
      upstream: fc.nat(upstreamCount - 1),
      accelerators: fc.integer({ min: 0, max: 8 }),
    }),
    { maxLength: 12 },
  ),
  electionsAtMs: fc.array(fc.nat(15_000), { maxLength: 3 }),
  crashing: fc.boolean(),
})

test('with any capacity and leader changes, no start brings an upstream over its capacity', async (t) => {
  await fc.assert(
    fc.asyncProperty(schedule, async ({ jobs, sizes, electionsAtMs, crashing }) => {
      const fleet = new FakeFleet({
        ...links,
        guardsCapacity: false,
        crashes: ({ jobId }) => crashing && jobId === 'job0',
      })
      fleet.elect()
      jobs.forEach(({ atMs, priority, accelerators, ...step }, at) => {
        const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators }
        fleet.clock.setTimer(atMs, () => {
          fleet.submit(createJob(`job${at}`, { ...step, needs }), priority)
        })
      })
      for (const { atMs, upstream, accelerators } of sizes) {
        fleet.clock.setTimer(atMs, () => {
          fleet.resize(upstream, accelerators)
        })
      }
      for (const atMs of electionsAtMs) {
        fleet.clock.setTimer(atMs, () => {
          fleet.elect()
        })
      }
      await fleet.clock.advance(20_000)
      for (let at = 0; at < upstreamCount; at++) fleet.resize(at, 8)
      await fleet.clock.advance(100_000)
      fleet.leader?.stop()
      assert.deepEqual(fleet.ledger.violations, [])
      assert.deepEqual([...fleet.state.unsettled.keys()], [])
    }),
    { numRuns: 40, includeErrorInReport: true },
  )
  t.pass()
})
