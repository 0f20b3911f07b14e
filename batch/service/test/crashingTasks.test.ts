/** Tasks that bring down the upstreams that start them, beside work that has nothing to do with it. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { FakeFleet } from '../__utils__/index.js'

const links = { clockRate: 1, lateMs: 1000, failures: [], linksMs: [1, 2, 3] }
const settledMs = 60_000

function startFleet(crashingJobs: readonly string[]): FakeFleet {
  const fleet = new FakeFleet({ ...links, crashes: ({ jobId }) => crashingJobs.includes(jobId) })
  fleet.elect()
  return fleet
}

test('a task that crashes each upstream that starts it is not started without end', async (t) => {
  const fleet = startFleet(['poison'])
  fleet.submit(createJob('poison', { expectedRunTimeMs: 800 }), 0)
  await fleet.clock.advance(settledMs)
  t.deepEqual(fleet.ledger.violations, [])
  t.is(fleet.state.jobs.get('poison')?.status, 'failed')
})
