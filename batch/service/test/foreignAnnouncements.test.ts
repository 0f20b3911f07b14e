/** Announcements from outdated or foreign senders: they must not change what the leader knows of its upstreams. */
import type { Announcement } from '@nettlespur/batch.model'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { settledMs, startFleet, upstreamCount, type FakeFleet } from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }

/** Copies the announcement of the first upstream, with `fields` as another sender would set them. */
function createAnnouncement(fleet: FakeFleet, fields: Partial<Announcement>): Announcement {
  const description = fleet.state.upstreams.get(fleet.upstreamIdOf(0))?.description
  if (description === undefined) throw new Error('the fleet has not announced itself')
  return { ...description, isDraining: false, sequence: 1e6, clockMs: 1, ...fields }
}

async function announce(fleet: FakeFleet, announcement: Announcement): Promise<void> {
  const heard = fleet.leader?.announce(announcement)
  await fleet.clock.advance(100)
  await heard
}

/** Submits tasks that each fill an upstream, and returns how many start: one on each usable upstream. */
async function countUsableUpstreams(fleet: FakeFleet): Promise<number> {
  fleet.submit(createJob('j', { taskCount: 6, needs, expectedRunTimeMs: 60_000 }), 1)
  await fleet.clock.advance(settledMs)
  return new Set(fleet.ledger.starts.map(({ index }) => index)).size
}

test('an announcement with a pool that is not configured does not replace the last valid one of the same id', async (t) => {
  const fleet = await startFleet()
  const upstreamId = fleet.upstreamIdOf(0)
  const before = fleet.state.upstreams.get(upstreamId)
  await announce(fleet, createAnnouncement(fleet, { pool: 'unknown', isDraining: true }))
  t.deepEqual(fleet.state.upstreams.get(upstreamId), before)
  t.is(await countUsableUpstreams(fleet), upstreamCount)
})

test('an announcement with a pool that is not configured does not affect another upstream at its address', async (t) => {
  const fleet = await startFleet()
  await announce(fleet, createAnnouncement(fleet, { upstreamId: 'foreign', pool: 'unknown' }))
  t.false(fleet.state.upstreams.has('foreign'))
  t.is(await countUsableUpstreams(fleet), upstreamCount)
})

test('an upstream whose pool was removed from the configuration can still announce that it is draining', async (t) => {
  const fleet = await startFleet()
  const { config } = fleet.state
  if (config === undefined) return t.fail()
  fleet.commit({ type: 'apply-config', config: { ...config, version: 2, pools: [], queues: [] } })
  await announce(fleet, createAnnouncement(fleet, { isDraining: true }))
  t.true(fleet.state.upstreams.get(fleet.upstreamIdOf(0))?.isDraining)
})

test('a late announcement of a former process does not keep the next one at its address from getting work', async (t) => {
  const fleet = await startFleet()
  const late = createAnnouncement(fleet, { upstreamId: 'former-life', sequence: 1 })
  await announce(fleet, late)
  t.is(await countUsableUpstreams(fleet), upstreamCount)
  t.true(fleet.state.placements.getByUpstream(fleet.upstreamIdOf(0)).size > 0)
})
