/** Guards against jobs that wait out the quarantine of all upstreams, which a few hopeless jobs can bring about. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { FakeFleet, settledMs, upstreamCount } from '../__utils__/index.js'

test('a job starts within 3 s although two failing jobs have had every upstream quarantined', async (t) => {
  const failures = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]
  const fleet = new FakeFleet({ clockRate: 1, lateMs: 1000, failures, linksMs: [1] })
  fleet.elect()
  await fleet.clock.advance(settledMs)
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 1 }
  const apart = { taskCount: upstreamCount, tasksPerUpstreamMax: 1, needs, expectedRunTimeMs: 100 }
  for (const jobId of ['hopeless1', 'hopeless2']) fleet.submit(createJob(jobId, apart), 1)
  await fleet.clock.advance(500)
  fleet.submit(createJob('sound', { needs }), 1)
  await fleet.clock.advance(3000)
  t.true(fleet.ledger.starts.some(({ jobId }) => jobId === 'sound'))
})
