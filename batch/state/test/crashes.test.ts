/** When a job is given up because upstreams crash while its tasks or gangs run, and when it is not. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import { BatchMachine, BatchState, encodeCommand, type CrashBlame } from '../src/index.js'

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

/** Places one task for each entry of `blames`, then ends each run as certainly crashed with that blame. */
function crash(state: BatchState, attempt: number, blames: readonly CrashBlame[]): void {
  const placements = blames.map((_, index) => place(state, index, attempt))
  placements.forEach((placement, index) => {
    const blame = blames[index]
    const end = { ...placement, outcome: 'crashed' as const, isCertain: true as const, blame }
    state.apply({ type: 'end-runs', ends: [end] })
  })
}

test('a task blamed for three upstream crashes is given up, and its job records the reason', (t) => {
  const state = createState()
  for (const attempt of [1, 2]) crash(state, attempt, ['blamed'])
  t.is(state.jobs.get('j')?.status, 'active')
  crash(state, 3, ['blamed'])
  const job = state.jobs.get('j')
  t.is(job?.status, 'failed')
  t.deepEqual(job?.failure, { reason: 'crashes-upstreams', step: 0, index: 0 })
  t.false(state.unsettled.has('j'))
})

test('a task that is never blamed for the crashes is given up only at the limit on all crashes', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= 4; attempt++) crash(state, attempt, ['none'])
  t.is(state.jobs.get('j')?.status, 'active')
  crash(state, 5, ['none'])
  t.is(state.jobs.get('j')?.failure?.reason, 'crashes-upstreams')
})

test('crashes and failures are counted against separate limits', (t) => {
  const state = createState()
  crash(state, 1, ['blamed'])
  state.apply({ type: 'end-runs', ends: [{ ...place(state, 0, 2), outcome: 'failed' }] })
  t.is(state.jobs.get('j')?.status, 'active')
  state.apply({ type: 'end-runs', ends: [{ ...place(state, 0, 3), outcome: 'failed' }] })
  t.is(state.jobs.get('j')?.failure?.reason, 'attempts-used-up')
})

test('a suspect task is started only twice more after its third crash, whatever the outcome of those runs', (t) => {
  const state = createState()
  for (const attempt of [1, 2, 3]) crash(state, attempt, ['suspected'])
  for (const attempt of [4, 5]) {
    t.is(state.jobs.get('j')?.status, 'active')
    state.apply({ type: 'end-runs', ends: [{ ...place(state, 0, attempt), outcome: 'stopped' }] })
  }
  t.is(state.jobs.get('j')?.failure?.reason, 'crashes-upstreams')
})

test('a gang is not given up if each crash occurred under a different member', (t) => {
  const state = createState({ taskCount: 4, isGang: true })
  for (let member = 0; member < 4; member++) {
    const placements = [0, 1, 2, 3].map((index) => place(state, index, member + 1))
    const ends = placements.map((placement, index) => {
      if (index !== member) return { ...placement, outcome: 'broken' as const }
      const blame = 'blamed' as const
      return { ...placement, outcome: 'crashed' as const, isCertain: true as const, blame }
    })
    state.apply({ type: 'end-runs', ends })
  }
  t.is(state.jobs.get('j')?.status, 'active')
})

test('a gang is given up after three crashes for which the same member is blamed', (t) => {
  const state = createState({ taskCount: 2, isGang: true })
  for (const attempt of [1, 2, 3]) crash(state, attempt, ['none', 'blamed'])
  t.deepEqual(state.jobs.get('j')?.failure, { reason: 'crashes-upstreams', step: 0, index: 1 })
})

test('crash counts survive a restore from a snapshot', (t) => {
  const state = createState()
  for (const attempt of [1, 2]) crash(state, attempt, ['blamed'])
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  crash(restored, 3, ['blamed'])
  t.is(restored.jobs.get('j')?.status, 'failed')
})

test('snapshots and commands written before crashes were counted are read, and later crashes are counted', (t) => {
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
  for (const attempt of [11, 12, 13]) crash(machine.state, attempt, ['blamed'])
  t.is(machine.state.jobs.get('j')?.status, 'failed')
})
