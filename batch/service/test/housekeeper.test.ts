/** When ended jobs and upstreams that left are forgotten, on a manual clock. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { BatchState, type Command } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { Housekeeper } from '../src/housekeeper.js'

const keepEndedMs = 60_000
/** Longer than an upstream that left is kept. */
const forgetLeftMs = 601_000

function startHousekeeper() {
  const clock = new ManualClock()
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const tryPropose = (command: Command): Promise<boolean> => {
    state.apply(command)
    return Promise.resolve(true)
  }
  const housekeeper = new Housekeeper({ clock, keepEndedMs, getState: () => state, tryPropose })
  const advanceAndRun = async (durationMs: number): Promise<void> => {
    await clock.advance(durationMs)
    await housekeeper.cleanUp()
  }
  return { state, advanceAndRun }
}

function submit(state: BatchState, jobId: string): void {
  const request = createJob(jobId, {})
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
}

test('a job that ended is forgotten after its retention time, and an open one is kept', async (t) => {
  const { state, advanceAndRun } = startHousekeeper()
  submit(state, 'ended')
  submit(state, 'open')
  state.apply({ type: 'cancel-job', jobId: 'ended' })
  await advanceAndRun(0)
  await advanceAndRun(keepEndedMs - 1)
  t.true(state.jobs.has('ended'))
  await advanceAndRun(1000)
  t.deepEqual([...state.jobs.keys()], ['open'])
})

test('an upstream that left is forgotten after ten minutes, but not while it holds a run', async (t) => {
  const { state, advanceAndRun } = startHousekeeper()
  for (const upstreamId of ['left', 'busy', 'here']) {
    state.apply({ type: 'note-upstream', description: createUpstream(upstreamId) })
  }
  submit(state, 'j')
  const placement = { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId: 'busy' }
  state.apply({ type: 'place-tasks', placements: [placement] })
  for (const upstreamId of ['left', 'busy']) state.apply({ type: 'remove-upstream', upstreamId })
  await advanceAndRun(0)
  await advanceAndRun(forgetLeftMs / 2)
  t.is(state.upstreams.size, 3)
  await advanceAndRun(forgetLeftMs / 2)
  t.deepEqual([...state.upstreams.keys()], ['busy', 'here'])
})
