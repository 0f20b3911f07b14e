/**
 * Guards against an upstream that gets no work for the rest of a term because an announcement of a former process at its
 * address came late. While work waits, a start order shows that the former process is gone; while none does, nothing asks.
 */
import type { Announcement } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, upstreamCount, type FakeFleet } from '../__utils__/index.js'

/** Longer than a silent upstream counts as one that may get work. */
const idleMs = 20_000
const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }

/** Announces a process that was at the address of the first upstream before it. */
async function announceFormerProcess(fleet: FakeFleet): Promise<void> {
  const description = fleet.state.upstreams.get(fleet.upstreamIdOf(0))?.description
  if (description === undefined) throw new Error('the fleet has not announced itself')
  const late: Announcement = {
    ...description,
    upstreamId: 'former-life',
    isDraining: false,
    sequence: 1,
    clockMs: 1,
  }
  const heard = fleet.leader?.announce(late)
  await fleet.clock.advance(100)
  await heard
}

for (const forMs of [0, idleMs]) {
  test(`a late announcement of a former process costs the next one no work that comes after ${forMs} ms`, async (t) => {
    const fleet = await startFleet()
    await announceFormerProcess(fleet)
    await fleet.clock.advance(forMs)
    fleet.submit(createJob('j', { taskCount: 6, needs, expectedRunTimeMs: 60_000 }), 1)
    await fleet.clock.advance(settledMs)
    t.is(new Set(fleet.ledger.starts.map(({ index }) => index)).size, upstreamCount)
    t.true(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(0)).size > 0)
  })
}
