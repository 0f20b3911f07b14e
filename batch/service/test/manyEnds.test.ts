/**
 * Guards against tasks that run again after they were done: an upstream lists 500 ends at a time, and a run whose end is
 * not among them was taken for one that the upstream has forgotten.
 */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, upstreamCount } from '../__utils__/index.js'

const needs = { cpuMillicores: 10, memoryMiB: 1, accelerators: 0 }
const taskCount = 1250
const expectedRunTimeMs = 4000
/** Shorter than the lease of 9.5 s, so that all ends count. */
const cutMs = 5500

test('tasks whose ends are beyond the first 500 that an upstream lists after a cut do not run again', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('j', { taskCount, needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(settledMs)
  t.is(fleet.ledger.starts.length, taskCount)
  t.is([...fleet.state.placements.upstreamIds].length, 1)
  for (let upstream = 0; upstream < upstreamCount; upstream++)
    fleet.inject({ kind: 'cut', upstream, forMs: cutMs })
  await fleet.clock.advance(cutMs + 2 * settledMs)
  t.is(fleet.ledger.starts.length, taskCount)
  t.is(fleet.state.jobs.get('j')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})

test('a new leader reads the ends beyond the first 500 before it takes runs for ended', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('j', { taskCount, needs, expectedRunTimeMs }), 1)
  await fleet.clock.advance(settledMs)
  for (let upstream = 0; upstream < upstreamCount; upstream++)
    fleet.inject({ kind: 'cut', upstream, forMs: cutMs })
  await fleet.clock.advance(cutMs / 2)
  fleet.inject({ kind: 'new-leader', zombieMs: 0 })
  await fleet.clock.advance(cutMs + 2 * settledMs)
  t.is(fleet.ledger.starts.length, taskCount)
  t.is(fleet.state.jobs.get('j')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})
