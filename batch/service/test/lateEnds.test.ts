/**
 * Guards against running a task again whose work is done. An upstream is cut off while it works; its run finishes, the
 * lease expires unseen, and the leader starts the task elsewhere. Once the upstream answers again it lists the end.
 */
import { createJob } from '@nettlespur/batch.samples'
import type { Command } from '@nettlespur/batch.state'
import test from 'ava'
import {
  createRecorder,
  settledMs,
  startFleet,
  type FakeFleet,
  type Recorder,
} from '../__utils__/index.js'

/** Longer than the lease of 9.5 s, on the slowest clock allowed. */
const cutMs = 12_000
const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }

/** Cuts off the upstreams on which the job has started, one after the other, until all its starts were cut off. */
function cutRunning(fleet: FakeFleet, jobId: string, forMs: number): void {
  const ids = fleet.state.jobs.get(jobId)?.steps[0]?.tasks.map(({ upstreamId }) => upstreamId) ?? []
  for (const at of [0, 1, 2, 3]) {
    if (ids.includes(fleet.upstreamIdOf(at))) fleet.inject({ kind: 'cut', upstream: at, forMs })
  }
}

for (const taskCount of [1, 2]) {
  const unit = taskCount === 1 ? 'task' : 'gang'
  test(`a ${unit} that finished on an upstream counted as lost is not started a third time`, async (t) => {
    const fleet = await startFleet()
    const step = { taskCount, needs, isGang: taskCount > 1, expectedRunTimeMs: 8000 }
    fleet.submit(createJob('job', step), 1)
    await fleet.clock.advance(500)
    cutRunning(fleet, 'job', cutMs)
    await fleet.clock.advance(cutMs)
    // The second run is under way; what it does is lost with its upstream, so that the task would start once more.
    t.is(fleet.ledger.starts.length, 2 * taskCount)
    await fleet.clock.advance(settledMs)
    t.is(fleet.state.jobs.get('job')?.status, 'completed')
    t.is(fleet.state.unsettled.size, 0)
    await fleet.clock.advance(cutMs)
    t.is(fleet.ledger.starts.length, 2 * taskCount)
    t.deepEqual(fleet.ledger.violations, [])
  })
}

test('the run that a late end makes superfluous is stopped, and its room is used again', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('job', { needs, expectedRunTimeMs: 8000 }), 1)
  await fleet.clock.advance(500)
  cutRunning(fleet, 'job', cutMs)
  await fleet.clock.advance(cutMs + settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  fleet.submit(createJob('next', { taskCount: 4, needs, expectedRunTimeMs: 500 }), 1)
  await fleet.clock.advance(settledMs)
  t.is(fleet.state.jobs.get('next')?.status, 'completed')
})

/** Whether an upstream has accepted to stop the second run of the job. */
function hasStoppedSecondRun({ findEvents }: Recorder): boolean {
  return findEvents('run.stop').some(
    ({ jobId, attempt, answer }) => jobId === 'job' && attempt === 2 && answer === 'stopping',
  )
}

test('a superfluous run is stopped even if the first stop order is lost', async (t) => {
  const recorder = createRecorder()
  const fleet = await startFleet({ logger: recorder.logger })
  fleet.submit(createJob('job', { needs, expectedRunTimeMs: 8000 }), 1)
  await fleet.clock.advance(500)
  cutRunning(fleet, 'job', cutMs + 1000)
  await fleet.clock.advance(cutMs)
  cutRunning(fleet, 'job', 2 * settledMs)
  await fleet.clock.advance(1000 + settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.false(hasStoppedSecondRun(recorder))
  await fleet.clock.advance(settledMs)
  t.true(hasStoppedSecondRun(recorder))
})

test('a superfluous run is stopped even if the leader does not learn that the late end was committed', async (t) => {
  const recorder = createRecorder()
  const isLateEnd = (command: Command): boolean =>
    command.type === 'end-runs' && command.ends.some(({ isLate }) => isLate === true)
  const fleet: FakeFleet = await startFleet({
    logger: recorder.logger,
    failsProposal: (command) => {
      if (isLateEnd(command)) fleet.commit(command)
      return isLateEnd(command)
    },
  })
  fleet.submit(createJob('job', { needs, expectedRunTimeMs: 8000 }), 1)
  await fleet.clock.advance(500)
  cutRunning(fleet, 'job', cutMs)
  await fleet.clock.advance(cutMs + settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.true(hasStoppedSecondRun(recorder))
})
