/** Tasks that crash the upstreams that start them, next to unrelated jobs. */
import type { RunRef } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { FakeFleet, upstreamCount } from '../__utils__/index.js'

const links = { clockRate: 1, lateMs: 1000, failures: [], linksMs: [1, 2, 3] }
const settledMs = 60_000

function startFleet(crashes: (run: RunRef) => boolean): FakeFleet {
  const fleet = new FakeFleet({ ...links, crashes })
  fleet.elect()
  return fleet
}

function statusOf(fleet: FakeFleet, jobId: string): string | undefined {
  return fleet.state.jobs.get(jobId)?.status
}

test('a task that crashes every upstream that starts it is given up, and its job fails', async (t) => {
  const fleet = startFleet(({ jobId }) => jobId === 'poison')
  fleet.submit(createJob('poison', { expectedRunTimeMs: 800 }), 0)
  await fleet.clock.advance(settledMs)
  t.deepEqual(fleet.ledger.violations, [])
  t.is(statusOf(fleet, 'poison'), 'failed')
})

test('a gang with a member that crashes its upstream is given up, and its job fails', async (t) => {
  const fleet = startFleet(({ jobId, index }) => jobId === 'poison' && index === 1)
  const needs = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 5 }
  fleet.submit(createJob('poison', { isGang: true, taskCount: 3, needs }), 0)
  await fleet.clock.advance(settledMs)
  t.deepEqual(fleet.ledger.violations, [])
  t.is(statusOf(fleet, 'poison'), 'failed')
})

test('a crashing task is given up although leaders change between its crashes', async (t) => {
  const fleet = startFleet(({ jobId }) => jobId === 'poison')
  fleet.submit(createJob('poison', {}), 0)
  for (let second = 0; second < settledMs / 1000; second++) {
    await fleet.clock.advance(1000)
    if (second % 3 === 1) fleet.elect()
  }
  t.deepEqual(fleet.ledger.violations, [])
  t.is(statusOf(fleet, 'poison'), 'failed')
})

test('sound jobs complete although crashing tasks bring down the upstreams that they run on', async (t) => {
  const fleet = startFleet(({ jobId }) => jobId.startsWith('poison'))
  for (let at = 0; at < 8; at++) {
    fleet.submit(createJob(`sound${at}`, { taskCount: 3, expectedRunTimeMs: 4000 }), 1)
  }
  for (let at = 0; at < 3; at++) {
    await fleet.clock.advance(700)
    fleet.submit(createJob(`poison${at}`, { taskCount: 2 }), 0)
  }
  await fleet.clock.advance(settledMs)
  const sound = [...fleet.state.jobs.values()].filter(({ request }) =>
    request.jobId.startsWith('sound'),
  )
  t.deepEqual(
    sound.map(({ status }) => status),
    sound.map(() => 'completed'),
  )
  t.deepEqual(fleet.ledger.violations, [])
})

test('a run that was at work under former leaders is not blamed for a crash as if it had just started', async (t) => {
  const fleet = startFleet(() => false)
  fleet.submit(createJob('sound', { expectedRunTimeMs: 60_000 }), 0)
  for (let crash = 0; crash < 3; crash++) {
    await fleet.clock.advance(5000)
    const upstreamId = fleet.state.jobs.get('sound')?.steps[0]?.tasks[0]?.upstreamId ?? ''
    fleet.elect()
    fleet.inject({ kind: 'crash', upstream: fleet.listUpstreamIds().indexOf(upstreamId) })
  }
  await fleet.clock.advance(5000)
  const losses = fleet.state.jobs.get('sound')?.steps[0]?.tasks[0]?.losses ?? []
  t.deepEqual(
    losses.map(({ blame }) => blame),
    ['suspected', 'suspected', 'suspected'],
  )
  t.is(statusOf(fleet, 'sound'), 'active')
})

test('no sound job is given up because an upstream keeps crashing by itself', async (t) => {
  const fleet = startFleet(() => false)
  for (let at = 0; at < 6; at++) {
    fleet.submit(createJob(`sound${at}`, { taskCount: 4, expectedRunTimeMs: 3000 }), 1)
  }
  for (let second = 0; second < 12; second++) {
    await fleet.clock.advance(1000)
    fleet.inject({ kind: 'crash', upstream: 0 })
  }
  await fleet.clock.advance(settledMs)
  t.deepEqual(
    [...fleet.state.jobs.values()].map(({ status }) => status),
    Array.from({ length: 6 }, () => 'completed'),
  )
})

const schedule = fc.record({
  crashing: fc.uniqueArray(fc.nat(5), { maxLength: 3 }),
  jobs: fc.array(
    fc.record({
      atMs: fc.nat(6000),
      priority: fc.nat(2),
      taskCount: fc.integer({ min: 1, max: upstreamCount }),
      accelerators: fc.integer({ min: 1, max: 8 }),
      expectedRunTimeMs: fc.integer({ min: 50, max: 5000 }),
      isGang: fc.boolean(),
    }),
    { minLength: 6, maxLength: 6 },
  ),
  electionsAtMs: fc.array(fc.nat(15_000), { maxLength: 3 }),
  cuts: fc.array(
    fc.record({ atMs: fc.nat(15_000), upstream: fc.nat(upstreamCount - 1), forMs: fc.nat(14_000) }),
    { maxLength: 2 },
  ),
})

test('with any crashing tasks and leader changes, no task is started three more times after three crashes', async (t) => {
  await fc.assert(
    fc.asyncProperty(schedule, async ({ crashing, jobs, electionsAtMs, cuts }) => {
      const fleet = startFleet(({ jobId }) => crashing.some((at) => jobId === `job${at}`))
      jobs.forEach(({ atMs, priority, accelerators, ...step }, at) => {
        const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators }
        const request = createJob(`job${at}`, { ...step, needs })
        fleet.clock.setTimer(atMs, () => {
          fleet.submit(request, priority)
        })
      })
      for (const atMs of electionsAtMs) {
        fleet.clock.setTimer(atMs, () => {
          fleet.elect()
        })
      }
      for (const { atMs, ...cut } of cuts) {
        fleet.clock.setTimer(atMs, () => {
          fleet.inject({ kind: 'cut', ...cut })
        })
      }
      await fleet.clock.advance(15_000)
      fleet.healLinks()
      await fleet.clock.advance(120_000)
      fleet.leader?.stop()
      assert.deepEqual(fleet.ledger.violations, [])
      assert.deepEqual([...fleet.state.unsettled.keys()], [])
      for (const at of crashing) assert.equal(statusOf(fleet, `job${at}`), 'failed')
    }),
    { numRuns: 60, includeErrorInReport: true },
  )
  t.pass()
})
