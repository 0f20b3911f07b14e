/** Guards against speeds that are lost with the leader, or that hold up work while proposals fail. Time is a manual clock. */
import { createJob } from '@nettlespur/batch.samples'
import type { Command } from '@nettlespur/batch.state'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import {
  createRecorder,
  FakeFleet,
  startFleet,
  upstreamCount,
  type FakeFleetOptions,
} from '../__utils__/index.js'

/** Speeds of the four upstreams. */
const speeds = [0.5, 1, 1, 1.6]
const learning: Partial<FakeFleetOptions> = { speeds, upstreamSpeeds: 'learn' }
const jobEveryMs = 3000

/** Keeps all upstreams busy with steps of single tasks. */
async function runTasks(fleet: FakeFleet, durationMs: number, name = 'job'): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += jobEveryMs) {
    const step = { taskCount: upstreamCount * 8, expectedRunTimeMs: 2000 }
    fleet.submit(createJob(`${name}${atMs}`, step), 1)
    await fleet.clock.advance(jobEveryMs)
  }
}

/** Returns the committed means by number of the upstream; undefined for those without. */
function listMeans(fleet: FakeFleet): (number | undefined)[] {
  return fleet.listUpstreamIds().map((upstreamId) => fleet.state.speeds.get(upstreamId)?.mean)
}

function isLearned(means: readonly (number | undefined)[]): boolean {
  const [slow = 9, usual = 0, , fast = 0] = means
  return slow < 0.75 && usual > 0.8 && fast > 1.3
}

test('the leader commits which upstreams are slow and which are fast', async (t) => {
  const fleet = await startFleet(learning)
  await runTasks(fleet, 60_000)
  t.true(isLearned(listMeans(fleet)), listMeans(fleet).join())
})

test('a gang attempt is one observation, although all members report its progress', async (t) => {
  const metrics = new MetricsRegistry()
  const fleet = await startFleet({ ...learning, metrics })
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
  const gang = { taskCount: 2, needs, isGang: true, expectedRunTimeMs: 3000 }
  for (let job = 0; job < 40; job += 1) {
    fleet.submit(createJob(`gang${job}`, gang), 1)
    await fleet.clock.advance(1500)
  }
  await fleet.clock.advance(60_000)
  t.is(fleet.state.unsettled.size, 0)
  t.true(metrics.counterValue('speed_observations_total') <= 40)
  t.true(metrics.counterValue('speed_observations_total') >= 30)
})

test('without the setting nothing is proposed, and no figure of it is shown', async (t) => {
  const metrics = new MetricsRegistry()
  const commands: string[] = []
  const failsProposal = ({ type }: Command): boolean => {
    commands.push(type)
    return false
  }
  const fleet = await startFleet({ speeds, metrics, failsProposal })
  await runTasks(fleet, 20_000)
  t.false(commands.includes('note-speeds'))
  t.is(fleet.state.speeds.size, 0)
  t.false(metrics.render().includes('speed'))
})

// A new leader that starts from nothing would place urgent work on slow upstreams until it has learned again.
test('a new leader starts from the committed estimates, and keeps them while nothing runs', async (t) => {
  const { logger, findEvents } = createRecorder()
  const fleet = await startFleet({ ...learning, logger })
  await runTasks(fleet, 60_000)
  const before = listMeans(fleet)
  fleet.elect()
  await fleet.clock.advance(10_000)
  t.true(isLearned(listMeans(fleet)), `${before.join()} became ${listMeans(fleet).join()}`)
  const started = findEvents('leader.started').at(-1)
  t.is(started?.speeds, upstreamCount)
})

test('runs that a new leader inherits are measured from their first reading on, not from 0 percent', async (t) => {
  const metrics = new MetricsRegistry()
  const fleet = await startFleet({ speeds: [1, 1, 1, 1], upstreamSpeeds: 'learn', metrics })
  fleet.submit(createJob('j', { taskCount: 8, expectedRunTimeMs: 20_000 }), 1)
  await fleet.clock.advance(10_000)
  const observed = metrics.counterValue('speed_observations_total')
  t.true(observed > 0)
  fleet.elect()
  await fleet.clock.advance(12_000)
  t.true(metrics.counterValue('speed_observations_total') > observed)
  await fleet.clock.advance(5000)
  for (const mean of listMeans(fleet)) t.true(mean === undefined || mean < 1.3, `${mean}`)
})

test('while proposals of estimates fail, work goes on, and the estimates are committed afterwards', async (t) => {
  const { logger, findEvents } = createRecorder()
  let failing = true
  const failsProposal = ({ type }: Command): boolean => failing && type === 'note-speeds'
  const fleet = await startFleet({ ...learning, logger, failsProposal })
  await runTasks(fleet, 45_000)
  t.is(fleet.state.speeds.size, 0)
  t.true(fleet.state.jobs.get('job0')?.status === 'completed')
  const failed = findEvents('speeds.noted').filter(({ outcome }) => outcome === 'not-committed')
  t.true(failed.length > 0)
  t.true(failed.length <= 30)
  failing = false
  await fleet.clock.advance(4500)
  t.true(isLearned(listMeans(fleet)), listMeans(fleet).join())
})

test('estimates are committed when they have moved, at most once in two seconds', async (t) => {
  let notes = 0
  const failsProposal = ({ type }: Command): boolean => {
    if (type === 'note-speeds') notes += 1
    return false
  }
  const fleet = await startFleet({ ...learning, failsProposal })
  await runTasks(fleet, 60_000)
  t.true(notes > 0)
  t.true(notes <= 31)
  const afterLearning = notes
  await runTasks(fleet, 30_000, 'later')
  t.true(notes - afterLearning < 8, `${notes - afterLearning} more`)
})

test('the figures show how many speeds are known, the slowest and the fastest, and are 0 once the term is over', async (t) => {
  const metrics = new MetricsRegistry()
  const fleet = await startFleet({ ...learning, metrics })
  await runTasks(fleet, 60_000)
  t.regex(metrics.render(), /^upstream_speeds_known 4$/m)
  t.regex(metrics.render(), /^upstream_speed_slowest 0\.[4-7]/m)
  t.regex(metrics.render(), /^upstream_speed_fastest 1\.[3-9]/m)
  fleet.leader?.stop()
  t.regex(metrics.render(), /^upstream_speeds_known 0$/m)
  t.regex(metrics.render(), /^upstream_speed_slowest 0$/m)
})
