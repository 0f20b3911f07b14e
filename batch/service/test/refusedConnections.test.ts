/**
 * Guards against gangs that wait out a lease for nothing: an upstream ends without saying so, and the run of a gang member
 * on it counts as running until its lease of 9.5 s is over, although nothing listens at the address any more.
 */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, upstreamCount, type FakeFleet } from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
const gang = { taskCount: 2, needs, isGang: true, expectedRunTimeMs: 4000 }
/** Until the next process starts: longer than the lease. */
const downMs = 20_000
/** Two polls without an answer, and rounds and commits. */
const noticedMs = 1500

/** Ends the process of an upstream on which the gang runs. */
function endMember(fleet: FakeFleet): void {
  const ids = fleet.state.jobs.get('job')?.steps[0]?.tasks.map(({ upstreamId }) => upstreamId) ?? []
  const numbers = Array.from({ length: upstreamCount }, (_, at) => at)
  const upstream = numbers.find((at) => ids.includes(fleet.upstreamIdOf(at))) ?? 0
  fleet.inject({ kind: 'crash', upstream, downMs })
}

test('a gang starts again at once if nothing listens at the address of a member', async (t) => {
  const fleet = await startFleet({ reportsRefusals: true })
  fleet.submit(createJob('job', gang), 0)
  await fleet.clock.advance(settledMs)
  endMember(fleet)
  await fleet.clock.advance(noticedMs)
  t.is(fleet.ledger.starts.length, 2 * gang.taskCount)
  await fleet.clock.advance(gang.expectedRunTimeMs + settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})

test('where a refused connection proves nothing, a gang waits until the lease of its member is over', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('job', gang), 0)
  await fleet.clock.advance(settledMs)
  endMember(fleet)
  await fleet.clock.advance(noticedMs)
  t.is(fleet.ledger.starts.length, gang.taskCount)
})

test('an upstream whose process restarts before the second poll is not given up for a refused connection', async (t) => {
  const fleet = await startFleet({ reportsRefusals: true })
  fleet.inject({ kind: 'fault', fault: 'refused', calls: 1 })
  fleet.submit(createJob('job', { ...gang, taskCount: 1 }), 0)
  await fleet.clock.advance(gang.expectedRunTimeMs + 2 * settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.is(fleet.ledger.starts.length, 1)
})
