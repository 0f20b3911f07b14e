/**
 * Guards against members that give up a job at different commands: an end checks only the task that it changes, and a member that has
 * just read a snapshot checks all.
 */
import { createConfig, createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { BatchState, runOutcomeSchema, type Command } from '../src/index.js'

const jobIds = ['gang', 'free']
const tasksMax = 3

const runArbitrary = fc.record({
  jobId: fc.constantFrom(...jobIds),
  step: fc.nat({ max: 1 }),
  index: fc.nat({ max: tasksMax - 1 }),
  attempt: fc.integer({ min: 1, max: 9 }),
  upstreamId: fc.constant('u1'),
})
/** A run of its own for each end, which therefore takes effect. */
const commandArbitrary: fc.Arbitrary<Command[]> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc
      .tuple(runArbitrary, fc.constantFrom(...runOutcomeSchema.options))
      .map(([run, outcome]): Command[] => [
        { type: 'place-tasks', placements: [run] },
        { type: 'end-runs', ends: [{ ...run, outcome, blame: 'blamed' }] },
      ]),
  },
  {
    weight: 1,
    arbitrary: fc
      .record({
        version: fc.integer({ min: 2, max: 9 }),
        attemptsMax: fc.integer({ min: 1, max: 4 }),
      })
      .map(({ version, attemptsMax }): Command[] => {
        const config = createConfig(version)
        const queues = config.queues.map((queue) => ({ ...queue, attemptsMax }))
        return [{ type: 'apply-config', config: { ...config, queues } }]
      }),
  },
)

test('a state that has applied all commands equals one that was restored from a snapshot before each of them', (t) => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, { maxLength: 25 }), (commands) => {
      const state = createState()
      let restored = createState()
      for (const command of commands.flat()) {
        state.apply(command)
        restored = BatchState.restore(structuredClone(restored.snapshot()))
        restored.apply(command)
        t.deepEqual(state.snapshot(), restored.snapshot())
        t.is(state.heldSize, restored.heldSize)
      }
    }),
    { numRuns: 300 },
  )
})

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (const jobId of jobIds) {
    const isGang = jobId === 'gang'
    const request = createJob(jobId, { taskCount: tasksMax, isGang }, { taskCount: 2 })
    state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  }
  return state
}
