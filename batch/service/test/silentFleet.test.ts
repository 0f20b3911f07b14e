/**
 * Guards against tasks that wait beside idle upstreams because all of these have been silent. Every upstream is cut off until
 * its lease is over, and answers again as the same process. What silence cost it must not hold work back for longer.
 */
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, upstreamCount, type FakeFleet } from '../__utils__/index.js'

/** Longer than the lease of 9.5 s, on the slowest clock allowed. */
const cutMs = 12_000
/** Longer than an upstream that is heard again gets no new work. */
const backMs = 5000
const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }

async function cutAll(fleet: FakeFleet): Promise<void> {
  for (let at = 0; at < upstreamCount; at++)
    fleet.inject({ kind: 'cut', upstream: at, forMs: cutMs })
  await fleet.clock.advance(cutMs)
}

for (const isGang of [false, true]) {
  const unit = isGang ? 'a gang' : 'a task'
  test(`${unit} that all upstreams have lost by their silence starts soon after they answer again`, async (t) => {
    const fleet = await startFleet()
    const step = { taskCount: upstreamCount, needs, isGang, expectedRunTimeMs: 60_000 }
    fleet.submit(createJob('job', step), 1)
    await fleet.clock.advance(settledMs)
    t.is(fleet.ledger.starts.length, upstreamCount)
    await cutAll(fleet)
    await fleet.clock.advance(backMs)
    t.true(fleet.ledger.starts.length > upstreamCount)
    t.deepEqual(fleet.ledger.violations, [])
  })
}
