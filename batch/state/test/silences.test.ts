/** What becomes of tasks whose upstreams were silent until the lease had expired, and may have crashed or not. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import test from 'ava'
import {
  BatchMachine,
  BatchState,
  countCrashes,
  encodeCommand,
  isHeldBack,
  isSuspectTask,
  listSilences,
  type CrashBlame,
  type Placement,
  type RunEnd,
  type SilenceVerdict,
  type TaskRecord,
} from '../src/index.js'

const ref = { step: 0, index: 0 }
/** After as many crashes, or with two starts more after the third, a task is given up. */
const crashesMax = 5

function createState(step: Parameters<typeof createJob>[1] = {}): BatchState {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const request = createJob('j', step)
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  return state
}

function placeOn(attempt: number, index = 0): Placement {
  return { jobId: 'j', step: 0, index, attempt, upstreamId: `u${attempt}` }
}

function end(state: BatchState, attempt: number, how: Pick<RunEnd, 'outcome'> & Partial<RunEnd>) {
  const placement = placeOn(attempt)
  state.apply({ type: 'place-tasks', placements: [placement] })
  state.apply({ type: 'end-runs', ends: [{ ...placement, ...how }] })
}

function fallSilent(state: BatchState, attempt: number, blame: CrashBlame = 'suspected'): void {
  end(state, attempt, { outcome: 'silent', blame })
}

function settle(state: BatchState, attempt: number, verdict: SilenceVerdict) {
  return state.apply({ type: 'settle-silences', runs: [placeOn(attempt)], verdict })
}

function taskOf(state: BatchState): TaskRecord {
  const task = state.jobs.get('j')?.steps[0]?.tasks[0]
  if (task === undefined) throw new Error('the job has a task')
  return task
}

function isSuspect(state: BatchState): boolean {
  const job = state.jobs.get('j')
  return job !== undefined && isSuspectTask(job, ref)
}

test('silences end no job, however many there are', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= 3 * crashesMax; attempt++) fallSilent(state, attempt)
  t.is(state.jobs.get('j')?.status, 'active')
})

test('a task is held back once it would be given up if its silent upstreams had crashed', (t) => {
  const state = createState()
  for (const attempt of [1, 2, 3, 4]) {
    fallSilent(state, attempt)
    t.false(isHeldBack(taskOf(state)))
  }
  fallSilent(state, 5)
  t.true(isHeldBack(taskOf(state)))
})

test('a task is held back after two starts beyond its third silence, however these end', (t) => {
  const state = createState()
  for (const attempt of [1, 2, 3]) fallSilent(state, attempt)
  end(state, 4, { outcome: 'lost' })
  t.false(isHeldBack(taskOf(state)))
  end(state, 5, { outcome: 'stopped' })
  t.true(isHeldBack(taskOf(state)))
})

test('certain crashes and silences count together for holding a task back, and crashes alone for giving it up', (t) => {
  const state = createState()
  for (const attempt of [1, 2])
    end(state, attempt, { outcome: 'crashed', isCertain: true, blame: 'suspected' })
  for (const attempt of [3, 4, 5]) fallSilent(state, attempt)
  t.true(isHeldBack(taskOf(state)))
  t.is(state.jobs.get('j')?.status, 'active')
})

test('a silence is taken back once its upstream is known to live', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= crashesMax; attempt++) fallSilent(state, attempt)
  t.is(settle(state, 1, 'alive'), 'done')
  t.is(settle(state, 1, 'alive'), 'unchanged')
  t.false(isHeldBack(taskOf(state)))
  for (let attempt = 2; attempt <= crashesMax; attempt++) settle(state, attempt, 'alive')
  t.false(isSuspect(state))
  t.is(taskOf(state).losses, undefined)
})

test('a task is given up as soon as its silences are known to have been crashes', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= crashesMax; attempt++) fallSilent(state, attempt)
  for (const attempt of [5, 2, 4]) settle(state, attempt, 'crashed')
  t.is(state.jobs.get('j')?.status, 'active')
  t.true(isHeldBack(taskOf(state)))
  settle(state, 1, 'crashed')
  t.is(state.jobs.get('j')?.status, 'active')
  settle(state, 3, 'crashed')
  t.deepEqual(state.jobs.get('j')?.failure, { reason: 'crashes-upstreams', ...ref })
  t.false(state.unsettled.has('j'))
})

test('the third crash is that of the third attempt that crashed, in whatever order the crashes are known', (t) => {
  const state = createState()
  fallSilent(state, 1)
  for (const attempt of [2, 3])
    end(state, attempt, { outcome: 'crashed', isCertain: true, blame: 'suspected' })
  end(state, 4, { outcome: 'stopped' })
  settle(state, 1, 'crashed')
  t.is(countCrashes(taskOf(state))?.thirdAttempt, 3)
  t.is(state.jobs.get('j')?.status, 'active')
  end(state, 5, { outcome: 'stopped' })
  t.is(state.jobs.get('j')?.status, 'failed')
})

test('a gang waits while one of its members is held back, and goes on once its silences are taken back', (t) => {
  const state = createState({ taskCount: 2, isGang: true })
  for (let attempt = 1; attempt <= crashesMax; attempt++) {
    const runs = [placeOn(attempt, 0), placeOn(attempt, 1)]
    state.apply({ type: 'place-tasks', placements: runs })
    const ends = runs.map((run, index): RunEnd =>
      index === 0
        ? { ...run, outcome: 'silent', blame: 'suspected' }
        : { ...run, outcome: 'broken' },
    )
    state.apply({ type: 'end-runs', ends })
  }
  t.is(state.jobs.get('j')?.status, 'active')
  t.true(isHeldBack(taskOf(state)))
  settle(state, 3, 'alive')
  t.false(isHeldBack(taskOf(state)))
})

test('open silences survive a restore from a snapshot, and are forgotten as their job ends', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= crashesMax; attempt++) fallSilent(state, attempt)
  const restored = BatchState.restore(structuredClone(state.snapshot()))
  t.true(isHeldBack(taskOf(restored)))
  t.deepEqual([...restored.silences.upstreamIds].sort(), ['u1', 'u2', 'u3', 'u4', 'u5'])
  t.deepEqual([...restored.silences.getByUpstream('u2').values()], [placeOn(2)])
  restored.apply({ type: 'cancel-job', jobId: 'j' })
  t.deepEqual([...restored.silences.upstreamIds], [])
  t.is(settle(restored, 2, 'crashed'), 'unchanged')
  t.is(restored.jobs.get('j')?.status, 'cancelled')
})

test('ends that earlier versions wrote are counted as they counted them, so that members of both reach the same state', (t) => {
  const state = createState()
  for (const attempt of [1, 2, 3, 4])
    end(state, attempt, { outcome: 'crashed', blame: 'suspected' })
  t.deepEqual(taskOf(state).crashes, { crashes: 4, suspected: 4, blamed: 0, thirdAttempt: 3 })
  t.is(taskOf(state).losses, undefined)
  end(state, 5, { outcome: 'crashed', blame: 'suspected' })
  t.is(state.jobs.get('j')?.status, 'failed')
})

test('a job is not given up for silences that an earlier version counted as crashes', (t) => {
  const machine = new BatchMachine()
  const former = createState()
  former.apply({ type: 'note-upstream', description: createUpstream('u1') })
  for (const attempt of [1, 2, 3]) end(former, attempt, { outcome: 'crashed', blame: 'suspected' })
  machine.restore(7, Buffer.from(JSON.stringify(former.snapshot())))
  const { state } = machine
  const lost = { outcome: 'lost', dropsFormerCrashes: true } as const
  end(state, 4, lost)
  const last = { ...placeOn(5), ...lost }
  state.apply({ type: 'place-tasks', placements: [placeOn(5)] })
  machine.apply(8, encodeCommand({ type: 'end-runs', ends: [last] }))
  t.is(state.jobs.get('j')?.status, 'active')
  t.is(taskOf(state).crashes, undefined)
  t.false(isSuspect(state))
})

test('a silence without a word on its blame counts as suspected', (t) => {
  const state = createState()
  end(state, 1, { outcome: 'silent' })
  t.deepEqual(listSilences(taskOf(state)), [
    { attempt: 1, upstreamId: 'u1', blame: 'suspected', wasAtWork: false, fate: 'open' },
  ])
})

test('silences under runs that had been at work hold a task back only until nothing more is learned of them', (t) => {
  const state = createState()
  for (const attempt of [1, 2, 3, 4, 5])
    end(state, attempt, { outcome: 'silent', blame: 'suspected', wasAtWork: true })
  t.true(isHeldBack(taskOf(state)))
  settle(state, 1, 'unknown')
  t.false(isHeldBack(taskOf(state)))
  for (const attempt of [2, 3, 4, 5]) settle(state, attempt, 'unknown')
  t.false(isSuspect(state))
  for (const attempt of [1, 2, 3]) settle(state, attempt, 'crashed')
  t.is(state.jobs.get('j')?.status, 'failed')
})

test('silences of upstreams on which others had just started hold nothing back, and count if they were crashes', (t) => {
  const state = createState()
  for (let attempt = 1; attempt <= 2 * crashesMax; attempt++) fallSilent(state, attempt, 'none')
  t.false(isHeldBack(taskOf(state)))
  t.false(isSuspect(state))
  for (let attempt = 1; attempt < crashesMax; attempt++) settle(state, attempt, 'crashed')
  t.is(state.jobs.get('j')?.status, 'active')
  settle(state, crashesMax, 'crashed')
  t.is(state.jobs.get('j')?.status, 'failed')
})

test('a task with two certain crashes is given up once nothing is learned of its silent upstreams, and not before', (t) => {
  const state = createState()
  for (const attempt of [1, 2])
    end(state, attempt, { outcome: 'crashed', isCertain: true, blame: 'suspected' })
  for (const attempt of [3, 4]) fallSilent(state, attempt)
  end(state, 5, { outcome: 'stopped' })
  t.true(isHeldBack(taskOf(state)))
  settle(state, 4, 'unknown')
  t.is(state.jobs.get('j')?.status, 'active')
  t.is(settle(state, 3, 'unknown'), 'done')
  t.deepEqual(state.jobs.get('j')?.failure, { reason: 'crashes-upstreams', ...ref })
})

test('a task with fewer than two certain crashes waits although nothing is learned of its silent upstreams', (t) => {
  const state = createState()
  end(state, 1, { outcome: 'crashed', isCertain: true, blame: 'suspected' })
  for (const attempt of [2, 3, 4, 5]) fallSilent(state, attempt)
  for (const attempt of [2, 3, 4, 5]) settle(state, attempt, 'unknown')
  t.is(state.jobs.get('j')?.status, 'active')
  t.true(isHeldBack(taskOf(state)))
  t.is(settle(state, 2, 'unknown'), 'unchanged')
  for (const attempt of [2, 3]) settle(state, attempt, 'alive')
  t.false(isHeldBack(taskOf(state)))
})

test('one silence holds no task back that went down with its neighbours otherwise', (t) => {
  const state = createState()
  fallSilent(state, 1)
  for (const attempt of [2, 3, 4])
    end(state, attempt, { outcome: 'crashed', isCertain: true, blame: 'none' })
  for (const attempt of [5, 6]) end(state, attempt, { outcome: 'stopped' })
  t.false(isHeldBack(taskOf(state)))
  t.is(state.jobs.get('j')?.status, 'active')
})
