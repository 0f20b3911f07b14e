/** The replicated state: configurations, jobs, placements and ends of runs. */
import test from 'ava'
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { BatchState, describeJob, type RunOutcome } from '../src/index.js'

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  return state
}

function submit(state: BatchState, request: ReturnType<typeof createJob>) {
  return state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
}

function place(state: BatchState, run: { index?: number; attempt: number; upstreamId?: string }) {
  const placement = { jobId: 'j', step: 0, index: 0, upstreamId: 'u1', ...run }
  state.apply({ type: 'place-tasks', placements: [placement] })
  return placement
}

function end(
  state: BatchState,
  placement: ReturnType<typeof place>,
  outcome: RunOutcome,
  checkpoint = '',
) {
  return state.apply({ type: 'end-runs', ends: [{ ...placement, outcome, checkpoint }] })
}

test('a configuration is ignored unless its version is higher, even if its content differs', (t) => {
  const state = createState()
  t.is(state.apply({ type: 'apply-config', config: createConfig(5) }), 'done')
  t.is(state.apply({ type: 'apply-config', config: createConfig(3) }), 'unchanged')
  t.is(state.apply({ type: 'apply-config', config: createConfig(5, 'other') }), 'unchanged')
  t.is(state.config?.source, 'v5')
})

test('submitting a job twice keeps one job, and other content under the same id is a conflict', (t) => {
  const state = createState()
  t.is(submit(state, createJob('j', {})), 'done')
  t.is(submit(state, createJob('j', {})), 'unchanged')
  t.is(submit(state, createJob('j', { taskCount: 2 })), 'conflict')
  t.is(state.jobs.size, 1)
})

test('a task that is already placed is not placed again', (t) => {
  const state = createState()
  submit(state, createJob('j', {}))
  place(state, { attempt: 1 })
  place(state, { attempt: 2, upstreamId: 'u2' })
  t.is(state.placements.getByUpstream('u1').size, 1)
  t.is(state.placements.getByUpstream('u2').size, 0)
})

test('the end of a run is applied once, and only if that attempt is placed', (t) => {
  const state = createState()
  submit(state, createJob('j', {}))
  const first = place(state, { attempt: 1 })
  t.is(end(state, { ...first, attempt: 2 }, 'done'), 'unchanged')
  t.is(end(state, first, 'lost'), 'done')
  t.is(end(state, first, 'done'), 'unchanged')
  t.is(state.jobs.get('j')?.status, 'active')
})

test('a job fails once a task has failed attemptsMax times, and stopped and lost runs do not count', (t) => {
  const state = createState()
  submit(state, createJob('j', {}))
  for (const [at, outcome] of (['stopped', 'lost', 'failed', 'failed'] as const).entries()) {
    t.is(state.jobs.get('j')?.status, 'active')
    end(state, place(state, { attempt: at + 1 }), outcome)
  }
  t.is(state.jobs.get('j')?.status, 'failed')
  t.is(state.unsettled.size, 0)
})

test('members of a gang that fail together count as one failed attempt', (t) => {
  const state = createState()
  submit(state, createJob('j', { taskCount: 2, isGang: true }))
  const members = [0, 1].map((index) => place(state, { index, attempt: 1 }))
  for (const member of members) end(state, member, 'failed')
  t.like(state.jobs.get('j')?.steps[0], { gangFailures: 1, endedGangAttempt: 1 })
  t.is(state.jobs.get('j')?.status, 'active')
})

test('a gang is done as soon as one member is done', (t) => {
  const state = createState()
  submit(state, createJob('j', { taskCount: 2, isGang: true }))
  const [first] = [0, 1].map((index) => place(state, { index, attempt: 1 }))
  if (first !== undefined) end(state, first, 'done')
  t.is(state.jobs.get('j')?.status, 'completed')
  t.is(state.placements.getByUpstream('u1').size, 0)
})

test('a checkpoint is kept after its run ends, and all members of a gang resume from the same one', (t) => {
  const state = createState()
  submit(state, createJob('j', { taskCount: 2, isGang: true, checkpoints: true }))
  const [first, second] = [0, 1].map((index) => place(state, { index, attempt: 1 }))
  if (first === undefined || second === undefined) return t.fail()
  end(state, first, 'stopped', 'c1')
  end(state, second, 'stopped', 'c2')
  t.deepEqual(
    state.jobs.get('j')?.steps[0]?.tasks.map(({ checkpoint }) => checkpoint),
    ['c2', 'c2'],
  )
})

test('a cancelled job stays unsettled until its placed runs have ended', (t) => {
  const state = createState()
  submit(state, createJob('j', {}))
  const placement = place(state, { attempt: 1 })
  t.is(state.apply({ type: 'cancel-job', jobId: 'j' }), 'done')
  t.is(state.apply({ type: 'cancel-job', jobId: 'j' }), 'unchanged')
  t.true(state.unsettled.has('j'))
  end(state, placement, 'stopped')
  t.false(state.unsettled.has('j'))
})

test('an out-of-order announcement does not replace a newer one, and one without a sequence number is accepted', (t) => {
  const state = createState()
  const describe = (accelerators: number) => {
    const description = createUpstream('u1')
    return { ...description, capacity: { ...description.capacity, accelerators } }
  }
  const note = (accelerators: number, sequence?: number) =>
    state.apply({ type: 'note-upstream', description: describe(accelerators), sequence })
  t.is(note(8), 'done')
  t.is(note(2, 7), 'done')
  t.is(note(8, 6), 'unchanged')
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  const late = { type: 'note-upstream', description: describe(8), sequence: 5 } as const
  t.is(restored.apply(late), 'unchanged')
  t.is(restored.upstreams.get('u1')?.description.capacity.accelerators, 2)
})

test('a state restored from its snapshot equals the original, including its placements', (t) => {
  const state = createState()
  submit(state, createJob('j', { taskCount: 2 }, { dependsOn: [0] }))
  const placed = place(state, { attempt: 1 })
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  t.deepEqual(restored.snapshot(), state.snapshot())
  t.deepEqual(
    [...restored.placements.getByUpstream('u1').keys()],
    [...state.placements.getByUpstream('u1').keys()],
  )
  t.is(showState(restored), 'queued')
  end(state, placed, 'done')
  t.is(showState(state), 'running')
  t.is(showState(BatchState.restore(structuredClone(state.snapshot()))), 'running')
})

function showState({ jobs, begunJobs }: BatchState): string | undefined {
  const job = jobs.get('j')
  return job && describeJob(job, begunJobs.has('j'))
}
