/**
 * Guards against members that differ in which jobs have begun: after a restart from a snapshot, or beside members of an
 * earlier version, which cannot read the fields that they do not know.
 */
import { createConfig, createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { BatchState, runOutcomeSchema, type RunEnd } from '../src/index.js'

const jobIds = ['gang', 'free']
const tasksMax = 2
const run = { step: 0, upstreamId: 'u1' }

const endArbitrary: fc.Arbitrary<RunEnd> = fc
  .record(
    {
      jobId: fc.constantFrom(...jobIds),
      index: fc.nat({ max: tasksMax - 1 }),
      attempt: fc.integer({ min: 1, max: 3 }),
      outcome: fc.constantFrom(...runOutcomeSchema.options),
      checkpoint: fc.constantFrom('', 'c'),
      hasBegun: fc.constant(true as const),
      isLate: fc.constant(true as const),
    },
    { requiredKeys: ['jobId', 'index', 'attempt', 'outcome'] },
  )
  .map((end) => ({ ...run, ...end }))

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const requests = jobIds.map((jobId) =>
    createJob(jobId, { taskCount: tasksMax, isGang: jobId === 'gang' }),
  )
  for (const request of requests)
    state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  return state
}

/** Places the task of the end first, under the attempt of the end, unless a later one was placed. */
function apply(state: BatchState, end: RunEnd): void {
  const { jobId, step, index, attempt, upstreamId } = end
  const placements = [{ jobId, step, index, attempt, upstreamId }]
  state.apply({ type: 'place-tasks', placements })
  state.apply({ type: 'end-runs', ends: [end] })
}

function listBegun({ begunJobs }: BatchState): string[] {
  return jobIds.filter((jobId) => begunJobs.has(jobId))
}

test('a restored state knows the same jobs as begun as the one that applied the commands', (t) => {
  fc.assert(
    fc.property(fc.array(endArbitrary, { maxLength: 8 }), (ends) => {
      const state = createState()
      for (const end of ends) apply(state, end)
      const restored = BatchState.restore(structuredClone(state.snapshot()))
      t.deepEqual(listBegun(state), listBegun(restored))
    }),
    { numRuns: 300 },
  )
})

test('a run that ends without a trace has begun only if its end says so', (t) => {
  const state = createState()
  const end = { ...run, jobId: 'free', index: 0, attempt: 1, outcome: 'lost' } as const
  apply(state, end)
  t.deepEqual(listBegun(state), [])
  apply(state, { ...end, attempt: 2, hasBegun: true })
  t.deepEqual(listBegun(state), ['free'])
  state.apply({ type: 'cancel-job', jobId: 'free' })
  state.apply({ type: 'forget-jobs', jobIds: ['free'] })
  t.deepEqual(listBegun(state), [])
})

test('commands of members of an earlier version leave no field in a snapshot that these cannot read', (t) => {
  const state = createState()
  for (const outcome of runOutcomeSchema.options)
    apply(state, { ...run, jobId: 'free', index: 0, attempt: 1, outcome, checkpoint: 'c' })
  t.deepEqual(listBegun(state), ['free'])
  t.false(JSON.stringify(state.snapshot()).includes('hasBegun'))
})
