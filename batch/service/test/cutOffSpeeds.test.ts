/** Guards against upstreams that are taken for slow because the ends of their runs could not be read for a while. */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { startFleet, upstreamCount } from '../__utils__/index.js'

/** Long enough that polls time out, and shorter than the lease of 9.5 s. */
const cutMs = 6000
const jobEveryMs = 10_000
const jobs = 9

test('an upstream that is cut off for seconds again and again is not taken for slow', async (t) => {
  const fleet = await startFleet({ speeds: [1, 1, 1, 1], upstreamSpeeds: 'learn' })
  for (let job = 0; job < jobs; job += 1) {
    const step = { taskCount: upstreamCount * 8, expectedRunTimeMs: 2000 }
    fleet.submit(createJob(`job${job}`, step), 1)
    await fleet.clock.advance(300)
    fleet.inject({ kind: 'cut', upstream: 0, forMs: cutMs })
    await fleet.clock.advance(jobEveryMs - 300)
  }
  const [cutId = ''] = fleet.listUpstreamIds()
  const mean = fleet.state.speeds.get(cutId)?.mean ?? 1
  t.true(mean > 0.85, `${mean}`)
})
