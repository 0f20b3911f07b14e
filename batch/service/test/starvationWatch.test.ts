/** What the log says of units that wait though their pool has ample capacity. */
import type { StarvationReason, StarvingUnit } from '@nettlespur/batch.scheduler'
import { createJob } from '@nettlespur/batch.samples'
import test from 'ava'
import { createRecorder, FakeFleet } from '../__utils__/index.js'
import { StarvationWatch } from '../src/starvationWatch.js'

const describeFleet = () => ({ usableUpstreams: 3, knownUpstreams: 4, evacuated: [] })

function createStarving(jobId: string, reason: StarvationReason): StarvingUnit {
  return { jobId, step: 0, freeShare: 0.75, explain: () => reason }
}

test('a unit that starves for a second is logged once, and again only when the reason changes', (t) => {
  const { logger, metrics, findEvents } = createRecorder()
  const watch = new StarvationWatch({ logger, metrics, describeFleet })
  const reasons: StarvationReason[] = ['data-rack', 'data-rack', 'reservation', 'reservation']
  reasons.forEach((reason, at) => {
    watch.noteRound([createStarving('j', reason)], at * 900)
  })
  t.deepEqual(
    findEvents('job.starving').map(({ reason, starvedMs }) => [reason, starvedMs]),
    [['reservation', 1800]],
  )
  t.like(findEvents('job.starving')[0], { freePercent: 75, usableUpstreams: 3 })
  watch.noteRound([], 4000)
  watch.noteRound([createStarving('j', 'one-rack')], 5000)
  watch.noteRound([createStarving('j', 'one-rack')], 6000)
  t.is(findEvents('job.starving').length, 2)
})

test('a round explains no more than a few of many starving units', (t) => {
  const { logger, metrics, findEvents } = createRecorder()
  const watch = new StarvationWatch({ logger, metrics, describeFleet })
  const starving = Array.from({ length: 100 }, (_, at) => createStarving(`j${at}`, 'one-rack'))
  for (const nowMs of [0, 1000]) watch.noteRound(starving, nowMs)
  t.is(findEvents('job.starving').length, 3)
})

test('each of many starving units is logged in turn, however long the first of them starve', (t) => {
  const { logger, metrics, findEvents } = createRecorder()
  const watch = new StarvationWatch({ logger, metrics, describeFleet })
  const starving = Array.from({ length: 8 }, (_, at) => createStarving(`j${at}`, 'one-rack'))
  for (const nowMs of [0, 1000, 1100, 1200]) watch.noteRound(starving, nowMs)
  const logged = findEvents('job.starving').map(({ jobId }) => jobId)
  t.deepEqual(new Set(logged), new Set(starving.map(({ jobId }) => jobId)))
  t.is(logged.length, starving.length)
})

test('the leader logs a gang that waits for other work to leave its upstreams', async (t) => {
  const { logger, findEvents } = createRecorder()
  const fleet = new FakeFleet({ clockRate: 1, lateMs: 1000, failures: [], linksMs: [1], logger })
  fleet.elect()
  await fleet.clock.advance(2000)
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 1 }
  const apart = { taskCount: 4, tasksPerUpstreamMax: 1, needs, expectedRunTimeMs: 20_000 }
  fleet.submit(createJob('apart', apart), 1)
  await fleet.clock.advance(500)
  fleet.submit(createJob('gang', { isGang: true, needs: { ...needs, accelerators: 8 } }), 1)
  await fleet.clock.advance(3000)
  const lines = findEvents('job.starving')
  t.deepEqual(
    lines.map(({ jobId, reason, usableUpstreams }) => [jobId, reason, usableUpstreams]),
    [['gang', 'fragmentation', 4]],
  )
})
