/** Single scenarios of the leader's work, on a manual clock. */
import { createJob } from '@nettlespur/batch.samples'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { FakeFleet, settledMs, startFleet, upstreamCount } from '../__utils__/index.js'

/** An upstream ends a run at most this long after the order to stop it. */
const stopMs = 400
/** The longest time for which an upstream keeps its runs without a new lease, including the lag of its clock. */
const leaseMs = 9500 * 1.03

/** Creates a gang job of which each task needs a whole upstream. */
function createWholeUpstreamJob(jobId: string, taskCount: number, expectedRunTimeMs = 10_000) {
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
  return createJob(jobId, { taskCount, needs, expectedRunTimeMs, isGang: true })
}

function countStarted(fleet: FakeFleet, jobId: string): number {
  return fleet.ledger.starts.filter((run) => run.jobId === jobId).length
}

test('a draining upstream is recorded as such before its announcement is answered, and gets no more work', async (t) => {
  const fleet = await startFleet()
  const draining = fleet.drain(0)
  let isRecorded: boolean | undefined
  void draining.then(() => {
    isRecorded = fleet.state.upstreams.get(fleet.upstreamIdOf(0))?.isDraining
  })
  await fleet.clock.advance(settledMs)
  t.true(isRecorded)
  for (let job = 0; job < upstreamCount; job++)
    fleet.submit(createWholeUpstreamJob(`j${job}`, 1), 1)
  await fleet.clock.advance(settledMs)
  t.is(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(0)).size, 0)
  t.is(fleet.ledger.starts.length, upstreamCount - 1)
})

test('a new leader knows which upstream is draining', async (t) => {
  const fleet = await startFleet()
  const draining = fleet.drain(0)
  await fleet.clock.advance(settledMs)
  await draining
  fleet.elect()
  await fleet.clock.advance(settledMs)
  for (let job = 0; job < upstreamCount; job++)
    fleet.submit(createWholeUpstreamJob(`j${job}`, 1), 1)
  await fleet.clock.advance(settledMs)
  t.is(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(0)).size, 0)
})

test('the running tasks of a cancelled job are stopped, and its waiting tasks never start', async (t) => {
  const fleet = await startFleet()
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
  fleet.submit(createJob('j', { taskCount: 6, needs, expectedRunTimeMs: 5000 }), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'j'), upstreamCount)
  fleet.commit({ type: 'cancel-job', jobId: 'j' })
  await fleet.clock.advance(stopMs)
  t.deepEqual([...fleet.state.placements.upstreamIds], [])
  t.false(fleet.state.unsettled.has('j'))
  await fleet.clock.advance(30_000)
  t.is(countStarted(fleet, 'j'), upstreamCount)
})

test('guaranteed work starts once the runs that borrow its accelerators have stopped', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createWholeUpstreamJob('borrower', upstreamCount), 1)
  await fleet.clock.advance(settledMs)
  fleet.submit(createWholeUpstreamJob('guaranteed', 2, 1000), 0)
  await fleet.clock.advance(stopMs + 100)
  t.is(countStarted(fleet, 'guaranteed'), 2)
  await fleet.clock.advance(30_000)
  t.is(fleet.state.jobs.get('borrower')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})

test('with bounds, work waits for urgent work only where that has come before', async (t) => {
  const claimBounds = { guaranteedStartMsMax: 2900, stopMsMax: stopMs }
  const metrics = new MetricsRegistry()
  const fleet = await startFleet({ claimBounds, metrics })
  fleet.submit(createWholeUpstreamJob('first', upstreamCount, 1000), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'first'), upstreamCount)
  for (let job = 0; job < 20; job++) {
    fleet.submit(createWholeUpstreamJob(`urgent${job}`, 1, 300), 0)
    await fleet.clock.advance(stopMs)
  }
  fleet.submit(createWholeUpstreamJob('held', upstreamCount), 1)
  await fleet.clock.advance(1000)
  t.is(countStarted(fleet, 'held'), 0)
  t.regex(metrics.render(), /headroom_wanted_accelerators 8/)
  await fleet.clock.advance(30_000)
  t.is(fleet.state.jobs.get('held')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})

test('a gang with an unanswered start is stopped before its started members give up waiting for it', async (t) => {
  const fleet = await startFleet()
  fleet.inject({ kind: 'cut', upstream: 0, forMs: 20_000 })
  fleet.submit(createWholeUpstreamJob('gang', upstreamCount, 1000), 1)
  await fleet.clock.advance(2900)
  t.is(countStarted(fleet, 'gang'), upstreamCount - 1)
  const left = [...fleet.state.placements.upstreamIds]
  t.deepEqual(left, [fleet.upstreamIdOf(0)])
})

/** Index of the upstream on which the only task of the job is placed. */
function findUpstreamIndex(fleet: FakeFleet, jobId: string): number {
  const upstreamId = fleet.state.jobs.get(jobId)?.steps[0]?.tasks[0]?.upstreamId ?? ''
  return fleet.listUpstreamIds().indexOf(upstreamId)
}

test('a run on an upstream that has announced that it leaves starts elsewhere once its lease is over', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createWholeUpstreamJob('j', 1, 60_000), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'j'), 1)
  fleet.leave(findUpstreamIndex(fleet, 'j'))
  await fleet.clock.advance(leaseMs + settledMs)
  t.is(countStarted(fleet, 'j'), 2)
})

test('a run is not started elsewhere while an upstream that has announced that it leaves runs on, cut off', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createWholeUpstreamJob('j', 1, leaseMs), 1)
  await fleet.clock.advance(settledMs)
  fleet.leaveCutOff(findUpstreamIndex(fleet, 'j'))
  await fleet.clock.advance(leaseMs + settledMs)
  t.is(countStarted(fleet, 'j'), 2)
  t.deepEqual(fleet.ledger.violations, [])
})

test('a run on an upstream that is lost for good starts elsewhere once its lease is over', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createWholeUpstreamJob('j', 1, 60_000), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'j'), 1)
  fleet.crashForGood(findUpstreamIndex(fleet, 'j'))
  await fleet.clock.advance(leaseMs + settledMs)
  t.is(countStarted(fleet, 'j'), 2)
})

test('a run that cannot end before its upstream leaves starts elsewhere at once, and one that can is left to end', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createWholeUpstreamJob('long', 1, 20_000), 1)
  fleet.submit(createWholeUpstreamJob('short', 1, 4000), 1)
  await fleet.clock.advance(settledMs)
  void fleet.drain(findUpstreamIndex(fleet, 'long'), 4500)
  void fleet.drain(findUpstreamIndex(fleet, 'short'), 4500)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'long'), 2)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'short'), 1)
  t.is(fleet.state.jobs.get('short')?.status, 'completed')
})

test('a run that saves checkpoints goes on until shortly before its upstream leaves', async (t) => {
  const fleet = await startFleet()
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
  fleet.submit(createJob('j', { needs, expectedRunTimeMs: 20_000, checkpoints: true }), 1)
  await fleet.clock.advance(settledMs)
  void fleet.drain(findUpstreamIndex(fleet, 'j'), 4500)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'j'), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'j'), 2)
})

/** Longer than three announcement intervals. */
const missedAnnouncementsMs = 5000
/** Far shorter than the announcement interval. */
const takeoverMs = 500

test('a new leader gives work to idle upstreams before they announce themselves to it', async (t) => {
  const fleet = await startFleet()
  fleet.elect()
  for (let job = 0; job < upstreamCount; job++)
    fleet.submit(createWholeUpstreamJob(`j${job}`, 1), 1)
  await fleet.clock.advance(takeoverMs)
  t.is(fleet.ledger.starts.length, upstreamCount)
})

test('a new leader gives no work to an upstream that does not answer', async (t) => {
  const fleet = await startFleet()
  fleet.inject({ kind: 'cut', upstream: 0, forMs: 20_000 })
  fleet.elect()
  for (let job = 0; job < upstreamCount; job++)
    fleet.submit(createWholeUpstreamJob(`j${job}`, 1), 1)
  await fleet.clock.advance(takeoverMs)
  t.is(fleet.ledger.starts.length, upstreamCount - 1)
  t.is(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(0)).size, 0)
})

test('a new leader preempts nothing for work that fits on upstreams which answer a little later', async (t) => {
  const fleet = new FakeFleet({ clockRate: 1, lateMs: 1000, failures: [], linksMs: [1, 60] })
  fleet.elect()
  await fleet.clock.advance(settledMs)
  fleet.submit(createWholeUpstreamJob('borrower', upstreamCount / 2), 1)
  await fleet.clock.advance(500)
  fleet.elect()
  fleet.submit(createWholeUpstreamJob('guaranteed', 2, 1000), 0)
  await fleet.clock.advance(takeoverMs)
  t.is(countStarted(fleet, 'guaranteed'), 2)
  t.is(countStarted(fleet, 'borrower'), 2)
  t.is(fleet.state.placements.getByUpstream(findFirstUpstreamId(fleet, 'borrower')).size, 1)
})

test('an upstream that answers but no longer announces itself gets no new work', async (t) => {
  const fleet = await startFleet()
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 1 }
  fleet.submit(createJob('running', { needs, expectedRunTimeMs: 60_000 }), 1)
  await fleet.clock.advance(settledMs)
  const at = findUpstreamIndex(fleet, 'running')
  fleet.stopAnnouncing(at)
  await fleet.clock.advance(missedAnnouncementsMs)
  fleet.submit(createJob('more', { taskCount: 3, needs, expectedRunTimeMs: 60_000 }), 1)
  await fleet.clock.advance(settledMs)
  t.is(countStarted(fleet, 'more'), 3)
  t.is(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(at)).size, 1)
})

function findFirstUpstreamId(fleet: FakeFleet, jobId: string): string {
  return fleet.state.jobs.get(jobId)?.steps[0]?.tasks[0]?.upstreamId ?? ''
}
