/** Guards against finished work that is done again because its end was reported only after the run was counted as lost. */
import test from 'ava'
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import { BatchState, commandSchema, type Placement } from '../src/index.js'

const first: Placement = { jobId: 'j', step: 0, index: 0, attempt: 1, upstreamId: 'u1' }
const second: Placement = { ...first, attempt: 2, upstreamId: 'u2' }

/** A job of two tasks, the first of which was lost on u1 and started again on u2. */
function createStateWithLostRun(isGang = false): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (const id of ['u1', 'u2']) {
    state.apply({ type: 'note-upstream', description: createUpstream(id) })
  }
  const request = createJob('j', { taskCount: 2, isGang })
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  for (const index of [0, 1]) {
    const run = { ...first, index }
    state.apply({ type: 'place-tasks', placements: [run] })
    state.apply({ type: 'end-runs', ends: [{ ...run, outcome: 'lost' }] })
    state.apply({ type: 'place-tasks', placements: [{ ...second, index }] })
  }
  return state
}

function endLate(state: BatchState, run: Placement = first) {
  return state.apply({ type: 'end-runs', ends: [{ ...run, outcome: 'done', isLate: true }] })
}

test('a late end completes its task and takes the later run off its upstream', (t) => {
  const state = createStateWithLostRun()
  t.is(endLate(state), 'done')
  t.is(state.jobs.get('j')?.steps[0]?.tasks[0]?.phase, 'done')
  t.is(state.jobs.get('j')?.steps[0]?.tasks[1]?.phase, 'placed')
  t.deepEqual([...state.placements.getByUpstream('u2').values()], [{ ...second, index: 1 }])
})

test('a late end of a gang member completes the gang', (t) => {
  const state = createStateWithLostRun(true)
  t.is(endLate(state), 'done')
  t.is(state.jobs.get('j')?.status, 'completed')
  t.is(state.placements.getByUpstream('u2').size, 0)
})

test('a late end changes nothing if its task is done, its attempt never was, or its job has ended', (t) => {
  const state = createStateWithLostRun()
  t.is(endLate(state, { ...first, attempt: 3 }), 'unchanged')
  t.is(endLate(state, second), 'unchanged')
  endLate(state)
  t.is(endLate(state), 'unchanged')
  state.apply({ type: 'cancel-job', jobId: 'j' })
  t.is(endLate(state, { ...first, index: 1 }), 'unchanged')
})

test('only ends marked as late are stored in a way that earlier versions reject', (t) => {
  const end = { ...first, outcome: 'done' as const }
  t.false('isLate' in commandSchema.parse({ type: 'end-runs', ends: [end] }))
  t.false(commandSchema.safeParse({ type: 'end-runs', ends: [{ ...end, isLate: false }] }).success)
})

test('a job that a late end completes while none of its runs is placed is settled, as in a restored state', (t) => {
  const state = createStateWithLostRun()
  for (const index of [0, 1]) {
    const ends = [{ ...second, index, outcome: 'lost' as const }]
    state.apply({ type: 'end-runs', ends })
    t.is(endLate(state, { ...first, index }), 'done')
  }
  t.is(state.jobs.get('j')?.status, 'completed')
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  t.deepEqual([...state.unsettled.keys()], [...restored.unsettled.keys()])
  state.apply({ type: 'forget-jobs', jobIds: ['j'] })
  t.is(state.jobs.size, 0)
})
