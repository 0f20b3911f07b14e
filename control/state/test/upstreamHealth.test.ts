import { createContract, createJobRequest } from '@nettlespur/control.fakes'
import test from 'ava'
import fc from 'fast-check'
import { ControlState, readJob, type Command } from '../src/index.js'

const start = Date.parse('2026-01-01T00:00:00.000Z')
const pauseMs = 10_000

function createState() {
  const state = ControlState.create()
  const contract = createContract('demo')
  let timeMs = start
  const apply = (command: Record<string, unknown>) => {
    const at = new Date(timeMs).toISOString()
    return state.apply(state.appliedIndex + 1, { at, ...command } as unknown as Command)
  }
  const change = { changeId: 'c', expectedRevision: 0, contract }
  apply({ type: 'contract.apply', change })
  return { state, apply, passTime: (ms: number) => (timeMs += ms) }
}

type TestState = ReturnType<typeof createState>

function submit({ apply }: TestState): string {
  return readJob(apply({ type: 'job.submit', request: createJobRequest() })).unsafeCoerce().jobId
}

function startOn({ apply, state }: TestState, jobId: string, upstreamId: string): number {
  const index = state.appliedIndex
  const assignments = [{ upstreamId, address: 'a', acceleratorIndexes: [index] }]
  apply({ type: 'job.place', jobId, assignments, reason: 'r' })
  const fence = state.appliedIndex
  apply({ type: 'job.started', jobId, fence })
  return fence
}

function failOn(fixture: TestState, jobId: string, upstreamId: string): void {
  const fence = startOn(fixture, jobId, upstreamId)
  const failure = { upstreamId, fast: true }
  const retryAt = new Date(start).toISOString()
  const head = { type: 'job.requeue', jobId, fence, reason: 'r', retryAt }
  fixture.apply({ ...head, startSent: true, countsAsFailure: true, failure })
}

function finishOn(fixture: TestState, upstreamId: string): void {
  const jobId = submit(fixture)
  const fence = startOn(fixture, jobId, upstreamId)
  fixture.apply({
    type: 'job.finish',
    jobId,
    fence,
    parts: [{ taskId: 't', upstreamId, body: '' }],
  })
}

test('fast failures of several jobs quarantine their upstream; those of a single job do not', (t) => {
  const fixture = createState()
  const one = submit(fixture)
  for (let times = 0; times < 5; times++) failOn(fixture, one, 'u1')
  t.is(fixture.state.getUpstreamHealth('u1')?.quarantine, undefined)
  failOn(fixture, submit(fixture), 'u1')
  failOn(fixture, submit(fixture), 'u1')
  t.truthy(fixture.state.getUpstreamHealth('u1')?.quarantine)
})

test('jobs that each fail on several upstreams leave no upstream in quarantine', (t) => {
  const upstreams = ['u1', 'u2', 'u3', 'u4']
  const orders = fc.array(fc.shuffledSubarray(upstreams, { minLength: 2 }), {
    minLength: 4,
    maxLength: 12,
  })
  const property = fc.property(orders, (jobs) => {
    const fixture = createState()
    const ids = jobs.map(() => submit(fixture))
    for (let round = 0; round < upstreams.length; round++) {
      for (const [index, order] of jobs.entries()) {
        const upstreamId = order[round]
        if (upstreamId !== undefined) failOn(fixture, ids[index] ?? '', upstreamId)
      }
    }
    return upstreams.every((id) => fixture.state.getUpstreamHealth(id)?.quarantine === undefined)
  })
  t.notThrows(() => {
    fc.assert(property)
  })
})

test('a success clears the failure marks of an upstream', (t) => {
  const fixture = createState()
  failOn(fixture, submit(fixture), 'u1')
  failOn(fixture, submit(fixture), 'u1')
  finishOn(fixture, 'u1')
  failOn(fixture, submit(fixture), 'u1')
  t.is(fixture.state.getUpstreamHealth('u1')?.quarantine, undefined)
})

test('a failed probe doubles the pause, and each success doubles the admitted gangs until the quarantine ends', (t) => {
  const fixture = createState()
  for (let jobs = 0; jobs < 3; jobs++) failOn(fixture, submit(fixture), 'u1')
  fixture.passTime(pauseMs)
  failOn(fixture, submit(fixture), 'u1')
  t.like(fixture.state.getUpstreamHealth('u1')?.quarantine, {
    pauseMs: pauseMs * 2,
    admittedGangs: 1,
  })
  const admitted = [1, 2, 3].map(() => {
    finishOn(fixture, 'u1')
    return fixture.state.getUpstreamHealth('u1')?.quarantine?.admittedGangs
  })
  t.deepEqual(admitted, [2, 4, undefined])
})

test('a quarantine is restored from a snapshot', (t) => {
  const fixture = createState()
  for (let jobs = 0; jobs < 3; jobs++) failOn(fixture, submit(fixture), 'u1')
  const restored = ControlState.restore(fixture.state.snapshot())
  t.deepEqual(restored.getUpstreamHealth('u1'), fixture.state.getUpstreamHealth('u1'))
})

test('a queued job that can never run ends cancelled, or failed where an attempt was started', (t) => {
  const fixture = createState()
  const fresh = submit(fixture)
  const tried = submit(fixture)
  failOn(fixture, tried, 'u1')
  for (const jobId of [fresh, tried]) fixture.apply({ type: 'job.refuse', jobId, reason: 'r' })
  t.is(fixture.state.getJob('demo', fresh)?.state, 'cancelled')
  t.is(fixture.state.getJob('demo', tried)?.state, 'failed')
})
