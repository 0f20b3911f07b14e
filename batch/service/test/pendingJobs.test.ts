/**
 * Guards against jobs that are shown as running, and not counted as pending, although none of their tasks has started:
 * a placement is committed before its order is sent, and the order may be refused, lost or in doubt.
 */
import { createJob } from '@nettlespur/batch.samples'
import test, { type ExecutionContext } from 'ava'
import {
  createFleetApi,
  settledMs,
  startFleet,
  upstreamCount,
  type FakeFleet,
  type LinkFault,
} from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
const expectedRunTimeMs = 20_000
const call = { host: 'host', path: '/queue1/' }
/** More calls than a test makes. */
const manyCalls = 10_000
/** How old the count may be. */
const countAgeMsMax = 2000
/** The lease of an upstream, and rounds and commits. */
const leaseOverMs = 11_000

async function assertShown(
  t: ExecutionContext,
  fleet: FakeFleet,
  { pending, ...states }: Readonly<Record<string, string | number>>,
): Promise<void> {
  const api = createFleetApi(fleet)
  t.is((await api.countPending(call).run()).extract(), pending as number)
  for (const [jobId, state] of Object.entries(states)) {
    const path = `${call.path}${jobId}`
    t.is((await api.getJobState({ ...call, path, jobId }).run()).extract(), state as 'running')
  }
}

for (const fault of [
  'unhealthy-starts',
  'invalid-starts',
  'silent',
  'refused',
] satisfies LinkFault[]) {
  test(`a job of which no order got an answer but ${fault} is queued and pending until a task starts`, async (t) => {
    const fleet = await startFleet()
    fleet.inject({ kind: 'fault', fault, calls: manyCalls })
    fleet.submit(createJob('j', { needs, expectedRunTimeMs }), 1)
    fleet.submit(createJob('gang', { needs, expectedRunTimeMs, isGang: true, taskCount: 2 }), 1)
    await fleet.clock.advance(settledMs)
    t.true(fleet.port.startCalls > 0)
    t.is(fleet.ledger.starts.length, 0)
    await assertShown(t, fleet, { pending: 2, j: 'queued', gang: 'queued' })
    fleet.healLinks()
    await fleet.clock.advance(leaseOverMs)
    t.true(fleet.ledger.starts.length > 0)
    await assertShown(t, fleet, { pending: 0, j: 'running', gang: 'running' })
  })
}

test('a job whose start is answered by nobody and listed later is no longer pending once it is listed', async (t) => {
  const fleet = await startFleet()
  fleet.inject({ kind: 'fault', fault: 'answer-lost', calls: 1 })
  fleet.submit(createJob('j', { needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(countAgeMsMax)
  t.true(fleet.ledger.starts.length > 0)
  await assertShown(t, fleet, { pending: 0, j: 'running' })
})

test('a new leader shows jobs as running that it finds at work, and those as queued whose starts were refused', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('begun', { needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(settledMs)
  fleet.inject({ kind: 'fault', fault: 'unhealthy-starts', calls: manyCalls })
  fleet.submit(createJob('refused', { needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(settledMs)
  await assertShown(t, fleet, { pending: 1, begun: 'running', refused: 'queued' })
  fleet.inject({ kind: 'new-leader', zombieMs: 0 })
  await fleet.clock.advance(countAgeMsMax)
  await assertShown(t, fleet, { pending: 1, begun: 'running', refused: 'queued' })
})

test('a job whose only run began and was lost has begun for good, also under a new leader', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('j', { needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(settledMs)
  for (let at = 0; at < upstreamCount; at++) fleet.crashForGood(at)
  await fleet.clock.advance(2 * leaseOverMs)
  t.is(fleet.state.jobs.get('j')?.steps[0]?.tasks[0]?.phase, 'waiting')
  await assertShown(t, fleet, { pending: 0, j: 'running' })
  fleet.inject({ kind: 'new-leader', zombieMs: 0 })
  await fleet.clock.advance(countAgeMsMax)
  await assertShown(t, fleet, { pending: 0, j: 'running' })
})

test('a job whose start is in doubt on an upstream that is lost before it answers is pending again', async (t) => {
  const fleet = await startFleet()
  fleet.inject({ kind: 'fault', fault: 'silent', calls: manyCalls })
  fleet.submit(createJob('j', { needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(2 * leaseOverMs)
  t.is(fleet.ledger.starts.length, 0)
  await assertShown(t, fleet, { pending: 1, j: 'queued' })
})
