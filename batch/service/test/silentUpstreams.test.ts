/** Guards against jobs that are given up because their upstreams were silent for a while and ran on. */
import type { RunRef } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import type { Command } from '@nettlespur/batch.state'
import test from 'ava'
import { startFleet, upstreamCount, type FakeFleet } from '../__utils__/index.js'

/** Longer than the lease of 9.5 s, and than what a slow clock adds to it. */
const cutMs = 11_500
const cuts = 6
/** Until upstreams that are reached again have announced themselves, and what waits has started on them. */
const reachedMs = 3000
/** Longer than all cuts together, so that each of them ends a run. */
const runTimeMs = 100_000

/** Cuts off all upstreams, which run on, until the leases of all that runs there are over. */
async function cutAllOff(fleet: FakeFleet): Promise<void> {
  for (let upstream = 0; upstream < upstreamCount; upstream++) {
    fleet.inject({ kind: 'cut', upstream, forMs: cutMs })
  }
  await fleet.clock.advance(cutMs + reachedMs)
}

test('no job is shown as failed because its upstreams were silent beyond their leases again and again, and ran on', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('task', { expectedRunTimeMs: runTimeMs }), 0)
  fleet.submit(createJob('gang', { isGang: true, taskCount: 3, expectedRunTimeMs: runTimeMs }), 0)
  for (let cut = 0; cut < cuts; cut++) {
    await cutAllOff(fleet)
    const { jobs } = fleet.state
    t.deepEqual([jobs.get('task')?.status, jobs.get('gang')?.status], ['active', 'active'])
  }
  await fleet.clock.advance(runTimeMs + reachedMs)
  t.deepEqual(fleet.ledger.violations, [])
  t.is(fleet.state.jobs.get('task')?.status, 'completed')
  t.is(fleet.state.jobs.get('gang')?.status, 'completed')
})

test('a task is started once more after its silent upstreams answer again, and without a trial', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('task', { taskCount: 8, expectedRunTimeMs: runTimeMs }), 0)
  await cutAllOff(fleet)
  const tasks = fleet.state.jobs.get('task')?.steps[0]?.tasks ?? []
  t.deepEqual(
    tasks.map(({ phase, losses }) => [phase, losses]),
    tasks.map(() => ['placed', undefined]),
  )
  t.deepEqual([...fleet.state.silences.upstreamIds], [])
})

test('a crashing task is given up although its upstreams come back only after their leases, and leaders change meanwhile', async (t) => {
  const fleet = await startFleet({ crashes: ({ jobId }) => jobId === 'poison', downMs: cutMs })
  fleet.submit(createJob('poison', {}), 0)
  for (let second = 0; second < 120; second++) {
    await fleet.clock.advance(1000)
    if (second % 7 === 3) fleet.elect()
  }
  t.deepEqual(fleet.ledger.violations, [])
  t.is(fleet.state.jobs.get('poison')?.status, 'failed')
})

test('a task is not started three times more after three upstreams crashed under it that never come back', async (t) => {
  const upstreams = [0, 1, 2, 3, 4, 5, 6, 7]
  const crashes = ({ jobId }: RunRef): boolean => jobId === 'poison'
  const opts = { upstreamCount: upstreams.length, neverRestarted: upstreams }
  const fleet = await startFleet({ ...opts, crashes })
  fleet.submit(createJob('poison', {}), 0)
  await fleet.clock.advance(upstreams.length * (cutMs + reachedMs))
  t.deepEqual(fleet.ledger.violations, [])
  t.is(fleet.ledger.starts.length, 5)
  t.is(fleet.state.jobs.get('poison')?.status, 'active')
})

test('what became of silent upstreams is committed although proposals fail for a while', async (t) => {
  let isFailing = false
  const failsProposal = ({ type }: Command): boolean => isFailing && type === 'settle-silences'
  const fleet = await startFleet({ failsProposal })
  fleet.submit(createJob('task', { expectedRunTimeMs: runTimeMs }), 0)
  isFailing = true
  await cutAllOff(fleet)
  t.is([...fleet.state.silences.upstreamIds].length, 1)
  isFailing = false
  await fleet.clock.advance(reachedMs)
  t.is([...fleet.state.silences.upstreamIds].length, 0)
})
