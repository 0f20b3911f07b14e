/** How often starts that upstreams refuse are retried. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { startFleet, upstreamCount } from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 4 }

test('an upstream that refuses a start for lack of capacity is not asked again before its next announcement', async (t) => {
  const fleet = await startFleet()
  for (let at = 0; at < upstreamCount; at++) {
    fleet.resize(at, 3)
    fleet.stopAnnouncing(at)
  }
  fleet.submit(createJob('j', { needs }), 1)
  await fleet.clock.advance(1000)
  t.is(fleet.port.startCalls, upstreamCount)
})

test('a task that upstreams refuse as invalid is retried ever more rarely, and completes once they accept it', async (t) => {
  const fleet = await startFleet()
  fleet.inject({ kind: 'fault', fault: 'invalid-starts', calls: 10_000 })
  fleet.submit(createJob('j', { needs }), 1)
  await fleet.clock.advance(10_000)
  t.true(fleet.port.startCalls < 20, `${fleet.port.startCalls} starts`)
  fleet.healLinks()
  await fleet.clock.advance(10_000)
  t.is(fleet.state.jobs.get('j')?.status, 'completed')
})

test('a gang does not wait for an idle upstream that refuses every start while others have room', async (t) => {
  const fleet = await startFleet()
  fleet.makeUnhealthy(0)
  const whole = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
  fleet.submit(createJob('j', { isGang: true, taskCount: 2, needs: whole }), 1)
  await fleet.clock.advance(3000)
  t.is(fleet.state.jobs.get('j')?.status, 'completed', `${fleet.port.startCalls} starts`)
})
