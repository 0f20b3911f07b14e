/** The index of silences stays in step with the records, and ends cost no more for it. */
import { createConfig, createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { performance } from 'node:perf_hooks'
import {
  BatchState,
  listSilences,
  runOutcomeSchema,
  type Command,
  type RunEnd,
} from '../src/index.js'

const jobIds = ['gang', 'free']
const verdicts = ['alive', 'unknown', 'crashed'] as const
const tasksMax = 3
const upstreamIds = ['u1', 'u2']

const runArbitrary = fc.record({
  jobId: fc.constantFrom(...jobIds),
  step: fc.nat({ max: 1 }),
  index: fc.nat({ max: tasksMax - 1 }),
  attempt: fc.integer({ min: 1, max: 12 }),
  upstreamId: fc.constantFrom(...upstreamIds),
})
const endArbitrary = fc.record({
  outcome: fc.constantFrom(...runOutcomeSchema.options),
  blame: fc.constantFrom('none' as const, 'suspected' as const, 'blamed' as const),
  isCertain: fc.boolean(),
  drops: fc.boolean(),
  isLate: fc.boolean(),
  places: fc.boolean(),
})
const commandArbitrary: fc.Arbitrary<Command[]> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.tuple(runArbitrary, endArbitrary).map(([run, how]): Command[] => {
      const { outcome, blame, isCertain, drops, isLate, places } = how
      const end: RunEnd = {
        ...run,
        outcome,
        ...(outcome === 'crashed' || outcome === 'silent' ? { blame } : {}),
        ...(outcome === 'crashed' && isCertain ? { isCertain: true as const } : {}),
        ...(drops ? { dropsFormerCrashes: true as const } : {}),
        ...(outcome === 'done' && isLate ? { isLate: true as const } : {}),
      }
      const place: Command = { type: 'place-tasks', placements: [run] }
      return places ? [place, { type: 'end-runs', ends: [end] }] : [place]
    }),
  },
  {
    weight: 5,
    arbitrary: fc
      .tuple(fc.array(runArbitrary, { maxLength: 6 }), fc.constantFrom(...verdicts))
      .map(([runs, verdict]): Command[] => [{ type: 'settle-silences', runs, verdict }]),
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom(...jobIds).map((jobId): Command[] => [
      { type: 'cancel-job', jobId },
      { type: 'forget-jobs', jobIds },
    ]),
  },
  {
    weight: 1,
    arbitrary: fc
      .record({ version: fc.integer({ min: 2, max: 9 }), attemptsMax: fc.nat({ max: 4 }) })
      .map(({ version, attemptsMax }): Command[] => {
        const config = createConfig(version)
        const queues = config.queues.map((queue) => ({ ...queue, attemptsMax: attemptsMax + 1 }))
        return [{ type: 'apply-config', config: { ...config, queues } }]
      }),
  },
)

function submit(state: BatchState, jobId: string, step: Parameters<typeof createJob>[1]): void {
  const request = createJob(jobId, step)
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
}

function createState(): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  submit(state, 'gang', { taskCount: tasksMax, isGang: true })
  submit(state, 'free', { taskCount: tasksMax })
  return state
}

function listIndexed({ silences }: BatchState): string[] {
  return [...silences.upstreamIds]
    .flatMap((id) => [...silences.getByUpstream(id).values()])
    .map((run) => JSON.stringify(run))
    .sort()
}

function listRecorded({ jobs }: BatchState): string[] {
  return [...jobs]
    .filter(([, { status }]) => status === 'active')
    .flatMap(([jobId, { steps }]) =>
      steps.flatMap(({ tasks }, step) =>
        tasks.flatMap((task, index) =>
          (task.phase === 'done' ? [] : listSilences(task)).map(({ attempt, upstreamId }) =>
            JSON.stringify({ jobId, step, index, attempt, upstreamId }),
          ),
        ),
      ),
    )
    .sort()
}

test('with certain crashes, silences and their settlements, members that restore a snapshot agree, and the index has what the records have', (t) => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, { maxLength: 60 }), (commands) => {
      const state = createState()
      let restored = createState()
      for (const command of commands.flat()) {
        const outcome = state.apply(command)
        restored = BatchState.restore(structuredClone(restored.snapshot()))
        t.is(restored.apply(command), outcome)
        t.deepEqual(state.snapshot(), restored.snapshot())
        t.deepEqual([...state.unsettled.keys()].sort(), [...restored.unsettled.keys()].sort())
        t.deepEqual(listIndexed(state), listRecorded(state))
        t.deepEqual(listIndexed(restored), listRecorded(state))
      }
    }),
    { numRuns: 300 },
  )
})

/** Ends all runs of a cancelled job of that many tasks, while another job has an open silence or not; in ms. */
function timeEnds(taskCount: number, hasSilence: boolean): number {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  submit(state, 'silent', {})
  submit(state, 'wide', { taskCount })
  const silent = { jobId: 'silent', step: 0, index: 0, attempt: 1, upstreamId: 'u0' }
  state.apply({ type: 'place-tasks', placements: [silent] })
  const outcome = hasSilence ? 'silent' : 'lost'
  state.apply({ type: 'end-runs', ends: [{ ...silent, outcome }] })
  const placements = Array.from({ length: taskCount }, (_, index) => ({
    jobId: 'wide',
    step: 0,
    index,
    attempt: 1,
    upstreamId: 'u1',
  }))
  state.apply({ type: 'place-tasks', placements })
  state.apply({ type: 'cancel-job', jobId: 'wide' })
  const begunMs = performance.now()
  // From the last on, so that the search for a placed run ends at once.
  for (const placement of [...placements].reverse())
    state.apply({ type: 'end-runs', ends: [{ ...placement, outcome: 'stopped' }] })
  return performance.now() - begunMs
}

test('the ends of a wide cancelled job cost no more while another job has an open silence', (t) => {
  const taskCount = 4000
  timeEnds(500, true)
  const withoutMs = timeEnds(taskCount, false)
  const withMs = timeEnds(taskCount, true)
  const doubledMs = timeEnds(2 * taskCount, true)
  t.log({ taskCount, withoutMs, withMs, doubledMs })
  t.true(withMs < 10 * withoutMs + 50)
})
