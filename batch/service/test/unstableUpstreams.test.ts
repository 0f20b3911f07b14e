/**
 * Guards against gangs that break because a member was placed on an upstream that had just crashed, and against unstable
 * upstreams that make work wait.
 */
import { createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, type FakeFleet } from '../__utils__/index.js'
import { RecentTimes } from '../src/recentTimes.js'
import { UpstreamHealth, type InstabilityNotice } from '../src/upstreamHealth.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 4 }
const unstableMs = 10_000
const description = createUpstream('u1')
const { upstreamId, address } = description
const record = { description, isDraining: false, hasLeft: false }

/** Submits a gang, and returns the upstreams on which it was placed. */
async function placeGang(fleet: FakeFleet, jobId: string, taskCount: number) {
  const step = { taskCount, needs, isGang: true, expectedRunTimeMs: 1000 }
  fleet.submit(createJob(jobId, step), 1)
  await fleet.clock.advance(200)
  const tasks = fleet.state.jobs.get(jobId)?.steps[0]?.tasks ?? []
  const upstreamIds = tasks.flatMap(({ upstreamId }) => upstreamId ?? [])
  await fleet.clock.advance(2000)
  return upstreamIds
}

const births = {
  'under another id': undefined,
  'under the same id': (processNumber: number) => 1_790_000_000_000 + processNumber,
}

for (const [how, bornMs] of Object.entries(births)) {
  test(`an upstream that has crashed and come back ${how} gets gangs only after a while`, async (t) => {
    const fleet = await startFleet(bornMs === undefined ? {} : { bornMs })
    // Its session notices the crash by a run that is lost.
    fleet.submit(createJob('probe', { taskCount: 4, needs, expectedRunTimeMs: 60_000 }), 1)
    await fleet.clock.advance(settledMs)
    fleet.inject({ kind: 'crash', upstream: 0 })
    // The tightest fit, which a gang would take first.
    fleet.resize(0, 4)
    fleet.commit({ type: 'cancel-job', jobId: 'probe' })
    await fleet.clock.advance(3 * settledMs)
    const restarted = fleet.upstreamIdOf(0)
    t.is(new Set(await placeGang(fleet, 'wide', 7)).size, 4)
    const early = await placeGang(fleet, 'early', 3)
    t.is(early.length, 3)
    t.false(early.includes(restarted))
    await fleet.clock.advance(unstableMs)
    t.true((await placeGang(fleet, 'later', 3)).includes(restarted))
  })
}

test('an upstream that stops as planned is not unstable when it comes back', async (t) => {
  const fleet = await startFleet({})
  const draining = fleet.drain(0)
  await fleet.clock.advance(100)
  await draining
  fleet.inject({ kind: 'crash', upstream: 0 })
  fleet.resize(0, 4)
  await fleet.clock.advance(settledMs)
  t.true((await placeGang(fleet, 'gang', 3)).includes(fleet.upstreamIdOf(0)))
})

test('failed runs of two jobs make an upstream unstable for longer than its quarantine, those of one do not', (t) => {
  const health = new UpstreamHealth()
  const fail = (jobId: string, nowMs: number) => {
    const run = { jobId, step: 0, index: 0, attempt: 1, upstreamId: 'u1' }
    health.noteEnd({ ...run, outcome: 'failed' }, address, nowMs)
  }
  fail('j1', 0)
  fail('j1', 100)
  t.false(health.isUnstable(description, 100))
  fail('j2', 200)
  t.true(health.isUnstable(description, 200 + unstableMs - 1))
  t.false(health.isQuarantined('u1', 200 + unstableMs - 1))
  t.false(health.isUnstable(description, 200 + unstableMs))
})

test('a replaced process is told once, and does not count as a crash for trial starts', (t) => {
  const notices: InstabilityNotice[] = []
  const health = new UpstreamHealth((notice) => notices.push(notice))
  health.noteLoss({ ...record, isDraining: true }, 0)
  t.false(health.isUnstable(description, 0))
  health.noteLoss(record, 0)
  health.noteLoss(record, 0)
  t.deepEqual(notices, [{ upstreamId, address, cause: 'replaced' }])
  t.true(health.isUnstable(description, 1))
  t.false(health.hasCrashedLately(address, 1))
})

test('what is kept of recent times is bounded by the keys of the retention time', (t) => {
  const times = new RecentTimes(unstableMs)
  for (let at = 0; at < 1000; at++) times.note(`address${at}`, at * 1000)
  t.true(times.size <= unstableMs / 1000 + 1)
  t.true(times.has('address999', 999_000))
  t.false(times.has('address989', 999_000))
})
