/** The incrementally updated index of placements must equal an index rebuilt from the jobs. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { BatchState, runOutcomeSchema, type Placement } from '../src/index.js'

const upstreamIds = ['u0', 'u1', 'u2']
const jobIds = ['gang', 'free', 'steps']
const tasksMax = 4

const placementArbitrary = fc.record({
  jobId: fc.constantFrom(...jobIds),
  step: fc.nat({ max: 1 }),
  index: fc.nat({ max: tasksMax - 1 }),
  attempt: fc.integer({ min: 1, max: 4 }),
  upstreamId: fc.constantFrom(...upstreamIds),
})
const commandArbitrary = fc.oneof(
  fc.record({
    type: fc.constant('place-tasks' as const),
    placements: fc.array(placementArbitrary, { maxLength: 6 }),
  }),
  fc.record({
    type: fc.constant('end-runs' as const),
    ends: fc.array(
      fc
        .tuple(placementArbitrary, fc.constantFrom(...runOutcomeSchema.options))
        .map(([run, outcome]) => {
          return { ...run, outcome }
        }),
      { maxLength: 6 },
    ),
  }),
  fc.record({
    type: fc.constant('cancel-job' as const),
    jobId: fc.constantFrom(...jobIds),
  }),
)

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (const upstreamId of upstreamIds) {
    state.apply({ type: 'note-upstream', description: createUpstream(upstreamId) })
  }
  const requests = [
    createJob('gang', { taskCount: tasksMax, isGang: true }),
    createJob('free', { taskCount: tasksMax }),
    createJob('steps', { taskCount: 2 }, { taskCount: 2, dependsOn: [0] }),
  ]
  for (const request of requests) {
    state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  }
  return state
}

function listIndexed(state: BatchState): Placement[][] {
  return upstreamIds.map((upstreamId) => {
    const runs = [...state.placements.getByUpstream(upstreamId)]
    return runs.sort(([left], [right]) => left.localeCompare(right)).map(([, run]) => run)
  })
}

test('after any sequence of placements, ends and cancellations the index equals one rebuilt from a snapshot', (t) => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, { maxLength: 30 }), (commands) => {
      const state = createState()
      for (const command of commands) state.apply(command)
      const rebuilt = BatchState.restore(structuredClone(state.snapshot()))
      t.deepEqual(listIndexed(state), listIndexed(rebuilt))
      t.deepEqual([...state.unsettled.keys()].sort(), [...rebuilt.unsettled.keys()].sort())
    }),
    { numRuns: 300 },
  )
})
