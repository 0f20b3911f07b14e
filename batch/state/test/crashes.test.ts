/** Crashes of upstreams under tasks and gangs: when a job is given up for them, and when not. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import fc from 'fast-check'
import { BatchMachine, BatchState, encodeCommand, type CrashBlame } from '../src/index.js'
import { countCrash, crashBlames, type CrashRecord } from '../src/crashRecord.js'

function createState(step: Parameters<typeof createJob>[1] = {}): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const request = createJob('j', step)
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  return state
}

function place(state: BatchState, index: number, attempt: number) {
  const placement = { jobId: 'j', step: 0, index, attempt, upstreamId: `u${index}` }
  state.apply({ type: 'place-tasks', placements: [placement] })
  return placement
}

/** Places each of the first tasks and has its upstream crash. */
function crash(state: BatchState, attempt: number, blames: readonly CrashBlame[]): void {
  const placements = blames.map((_, index) => place(state, index, attempt))
  placements.forEach((placement, index) => {
    const end = { ...placement, outcome: 'crashed' as const, blame: blames[index] }
    state.apply({ type: 'end-runs', ends: [end] })
  })
}

test('a task that alone can have crashed two upstreams is given up, and its job says why', (t) => {
  const state = createState()
  crash(state, 1, ['sole'])
  t.is(state.jobs.get('j')?.status, 'active')
  crash(state, 2, ['sole'])
  const job = state.jobs.get('j')
  t.is(job?.status, 'failed')
  t.deepEqual(job?.failure, { reason: 'crashes-upstreams', step: 0, index: 0 })
  t.false(state.unsettled.has('j'))
})

test('a task that goes down with its neighbours again and again is not given up before the bound on all crashes', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= 4; attempt++) crash(state, attempt, ['none'])
  t.is(state.jobs.get('j')?.status, 'active')
  crash(state, 5, ['none'])
  t.is(state.jobs.get('j')?.failure?.reason, 'crashes-upstreams')
})

test('crashes and failures draw on budgets of their own', (t) => {
  const state = createState()
  crash(state, 1, ['sole'])
  state.apply({ type: 'end-runs', ends: [{ ...place(state, 0, 2), outcome: 'failed' }] })
  t.is(state.jobs.get('j')?.status, 'active')
  state.apply({ type: 'end-runs', ends: [{ ...place(state, 0, 3), outcome: 'failed' }] })
  t.is(state.jobs.get('j')?.failure?.reason, 'attempts-used-up')
})

test('members of a gang that go down in the same attempt count as one crash of the gang', (t) => {
  const state = createState({ taskCount: 2, isGang: true })
  crash(state, 1, ['none', 'sole'])
  t.like(state.jobs.get('j')?.steps[0]?.gangCrashes, { crashes: 1, blamed: 1, soleBlamed: 1 })
  t.is(state.jobs.get('j')?.status, 'active')
  crash(state, 2, ['sole', 'sole'])
  t.deepEqual(state.jobs.get('j')?.failure, { reason: 'crashes-upstreams', step: 0 })
})

test('an attempt counts once with its heaviest blame, in whichever order its ends come', (t) => {
  const blame = fc.constantFrom(...crashBlames)
  const ends = fc.array(fc.record({ attempt: fc.integer({ min: 1, max: 6 }), blame }))
  fc.assert(
    fc.property(ends, (drawn) => {
      const sorted = [...drawn].sort((left, right) => left.attempt - right.attempt)
      const record = sorted.reduce<CrashRecord | undefined>(countCrash, undefined)
      const attempts = [...new Set(sorted.map(({ attempt }) => attempt))]
      const heaviest = attempts.map((attempt) =>
        Math.max(
          ...sorted
            .filter((end) => end.attempt === attempt)
            .map((end) => crashBlames.indexOf(end.blame)),
        ),
      )
      t.is(record?.crashes ?? 0, attempts.length)
      t.is(record?.blamed ?? 0, heaviest.filter((level) => level > 0).length)
      t.is(record?.soleBlamed ?? 0, heaviest.filter((level) => level > 1).length)
    }),
  )
})

test('the count outlives a restart from a snapshot', (t) => {
  const state = createState()
  crash(state, 1, ['sole'])
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  crash(restored, 2, ['sole'])
  t.is(restored.jobs.get('j')?.status, 'failed')
})

test('snapshots and commands of the version that did not count crashes are read, and counted on from', (t) => {
  const formerTask = { phase: 'waiting', attempt: 9, failures: 0, checkpoint: '', failedOn: [] }
  const formerStep = {
    tasks: [formerTask],
    gangFailures: 0,
    failedGangAttempt: 0,
    endedGangAttempt: 0,
  }
  const job = {
    request: createJob('j', {}),
    workspace: 'w1',
    queue: createConfig(1).queues[1],
    status: 'active',
    hasStarted: true,
    number: 1,
    steps: [formerStep],
  }
  const upstream = { description: createUpstream('u0'), isDraining: false, hasLeft: false }
  const snapshot = { config: createConfig(1), jobs: [job], upstreams: [upstream], acceptedJobs: 1 }
  const machine = new BatchMachine()
  machine.restore(4, Buffer.from(JSON.stringify(snapshot)))
  const formerEnd = { ...place(machine.state, 0, 10), outcome: 'lost' as const, checkpoint: 'c' }
  machine.apply(5, encodeCommand({ type: 'end-runs', ends: [formerEnd] }))
  t.is(machine.state.jobs.get('j')?.steps[0]?.tasks[0]?.crashes, undefined)
  crash(machine.state, 11, ['sole'])
  crash(machine.state, 12, ['sole'])
  t.is(machine.state.jobs.get('j')?.status, 'failed')
})
