/** Guards against jobs that are given up because their upstreams were silent for a while and ran on. */
import { createJob } from '@nettlespur/batch.samples'
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
