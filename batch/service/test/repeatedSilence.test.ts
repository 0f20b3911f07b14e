/**
 * Guards against a sound job that is given up because the upstreams of its runs were silent beyond their leases again and
 * again: cut off, they crash nothing, but their silence looks like a crash.
 */
import { createJob } from '@nettlespur/batch.samples'
import { isHeldBack, listSilences, type TaskRecord } from '@nettlespur/batch.state'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { FakeFleet, type FakeFleetOptions } from '../__utils__/index.js'

const upstreamCount = 8
/** Upstreams that may stay down after a crash; the others have room for every job. */
const neverRestartedMax = 4
const sureUpstreams = upstreamCount - neverRestartedMax
const leaseMs = 9500
/** A run that ends while its lease lasts counts once the link is open again, so these are longer than a pause and a lease. */
const longRunTimeMs = { min: 14_000, max: 20_000 }
const faultPhaseMs = 100_000
/** Jobs that wait for suspect tasks to be tried one by one have completed by then. */
const recoveryMs = 120_000
const numRuns = 60
const links = { clockRate: 1, lateMs: 1000, failures: [], linksMs: [1, 2, 3], upstreamCount }

/** Cuts off the upstreams `cutAt` again and again, and leaves their links open for `pauseMs` in between. */
interface CutSeries {
  readonly cutAt: readonly number[]
  readonly forMs: number
  readonly pauseMs: number
  readonly rounds: number
  readonly refuses: boolean
}

/** Resolves when the links are healed after the last cut. */
async function playCuts(fleet: FakeFleet, series: CutSeries): Promise<void> {
  const { cutAt, forMs, pauseMs, rounds, refuses } = series
  for (let round = 0; round < rounds; round++) {
    await fleet.clock.sleep(pauseMs)
    for (const upstream of cutAt) fleet.inject({ kind: 'cut', upstream, forMs, refuses })
    await fleet.clock.sleep(forMs)
  }
}

function statusOf(fleet: FakeFleet, jobId: string): string | undefined {
  return fleet.state.jobs.get(jobId)?.status
}

const allUpstreams = Array.from({ length: upstreamCount }, (_, at) => at)

for (const refuses of [false, true]) {
  const how = refuses ? 'refuse connections' : 'are cut off'
  test(`a sound job completes although the upstreams of its runs ${how} beyond their leases again and again`, async (t) => {
    const fleet = new FakeFleet(links)
    fleet.elect()
    await fleet.clock.advance(2000)
    const step = { taskCount: 4, expectedRunTimeMs: longRunTimeMs.min }
    fleet.submit(createJob('sound', step), 1)
    fleet.submit(createJob('gang', { ...step, isGang: true }), 1)
    void playCuts(fleet, { cutAt: allUpstreams, forMs: 13_000, pauseMs: 2500, rounds: 7, refuses })
    await fleet.clock.advance(faultPhaseMs + recoveryMs)
    t.deepEqual(fleet.ledger.violations, [])
    t.is(statusOf(fleet, 'sound'), 'completed')
    t.is(statusOf(fleet, 'gang'), 'completed')
    t.true(countOftenStarted(fleet) > 0, `${fleet.ledger.starts.length} starts`)
  })
}

test('a crashing task is started at most twice more after three crashes although no crashed upstream comes back', async (t) => {
  const crashes: FakeFleetOptions['crashes'] = ({ jobId }) => jobId === 'poison'
  const fleet = new FakeFleet({ ...links, crashes, neverRestarted: allUpstreams })
  fleet.elect()
  await fleet.clock.advance(2000)
  fleet.submit(createJob('poison', { expectedRunTimeMs: 800 }), 0)
  await fleet.clock.advance(faultPhaseMs + recoveryMs)
  t.deepEqual(fleet.ledger.violations, [])
  const crashCount = fleet.ledger.crashesCaused.get('poison/0/0') ?? 0
  t.true(crashCount >= 3 && crashCount <= 5, `${crashCount} crashes`)
})

/** Each run ends behind a cut, and its upstream crashes there before the end is read. */
async function crashAfterEnds(): Promise<FakeFleet> {
  const fleet = new FakeFleet({ ...links, bornMs: getBornMs })
  fleet.elect()
  await fleet.clock.advance(2000)
  const step = { taskCount: 2, expectedRunTimeMs: 1000 }
  fleet.submit(createJob('sound', step), 1)
  for (let round = 0; round < 5; round++) {
    const startCount = fleet.ledger.starts.length
    for (let tries = 0; tries < 200 && fleet.ledger.starts.length === startCount; tries++)
      await fleet.clock.advance(50)
    // The starts have been answered, and their ends are not read.
    const cut = { forMs: 4000, losesAnswers: true }
    for (const upstream of allUpstreams) fleet.inject({ kind: 'cut', upstream, ...cut })
    await fleet.clock.advance(2000)
    for (const upstream of allUpstreams) fleet.inject({ kind: 'crash', upstream, downMs: 500 })
    await fleet.clock.advance(2000)
  }
  await fleet.clock.advance(recoveryMs)
  return fleet
}

/** Each run lapses behind a cut, and its upstream crashes there afterwards. */
async function crashAfterLapses(statesBirths: boolean): Promise<FakeFleet> {
  const fleet = new FakeFleet({ ...links, ...(statesBirths ? { bornMs: getBornMs } : {}) })
  fleet.elect()
  await fleet.clock.advance(2000)
  fleet.submit(createJob('sound', { expectedRunTimeMs: 40_000 }), 0)
  await fleet.clock.advance(500)
  for (let round = 0; round < 6; round++) {
    for (const upstream of allUpstreams)
      fleet.inject({ kind: 'cut', upstream, forMs: leaseMs + 6000 })
    await fleet.clock.advance(leaseMs + 2000)
    for (const upstream of allUpstreams) fleet.inject({ kind: 'crash', upstream, downMs: 500 })
    await fleet.clock.advance(7000)
  }
  await fleet.clock.advance(recoveryMs)
  return fleet
}

test('no sound job is given up because upstreams crash behind cuts after its runs have ended or lapsed there', async (t) => {
  const fleets = [
    await crashAfterEnds(),
    await crashAfterLapses(false),
    await crashAfterLapses(true),
  ]
  t.deepEqual(
    fleets.map((fleet) => [fleet.ledger.violations, statusOf(fleet, 'sound')]),
    fleets.map(() => [[], 'completed']),
  )
})

const timed = { atMs: fc.nat(faultPhaseMs) }
const schedule = fc.record({
  series: fc.array(
    fc.record({
      atMs: fc.nat(10_000),
      cutAt: fc.subarray(allUpstreams, { minLength: upstreamCount - 2 }),
      forMs: fc.integer({ min: leaseMs + 500, max: leaseMs + 5000 }),
      pauseMs: fc.integer({ min: 500, max: 4000 }),
      rounds: fc.integer({ min: 5, max: 8 }),
      refuses: fc.boolean(),
    }),
    { minLength: 1, maxLength: 2 },
  ),
  jobs: fc.array(
    fc.record({
      atMs: fc.nat(10_000),
      priority: fc.nat(2),
      taskCount: fc.integer({ min: 1, max: sureUpstreams }),
      accelerators: fc.integer({ min: 1, max: 4 }),
      expectedRunTimeMs: fc.oneof(
        fc.integer({ min: 1000, max: longRunTimeMs.min }),
        fc.integer(longRunTimeMs),
      ),
      isGang: fc.boolean(),
    }),
    { minLength: 4, maxLength: 6 },
  ),
  crashing: fc.uniqueArray(fc.nat(5), { maxLength: 2 }),
  crashes: fc.array(
    fc.record({
      ...timed,
      upstream: fc.nat(upstreamCount - 1),
      downMs: fc.oneof(fc.constant(5), fc.integer({ min: 5, max: 20_000 })),
    }),
    { maxLength: 4 },
  ),
  neverRestarted: fc.oneof(
    fc.constant([]),
    fc.subarray(allUpstreams, { minLength: 1, maxLength: neverRestartedMax }),
  ),
  elections: fc.array(fc.record({ ...timed, zombieMs: fc.nat(800) }), { maxLength: 4 }),
  /** Whether a restarted upstream has the id that it had. */
  keepsIds: fc.boolean(),
  failures: fc.array(fc.nat(9), { maxLength: 2 }),
  clockRate: fc.constantFrom(0.98, 0.99, 1),
  linksMs: fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 5 }),
})
type Schedule = typeof schedule extends fc.Arbitrary<infer T> ? T : never

/** The time of birth of the n-th process. */
function getBornMs(processNumber: number): number {
  return 1_790_000_000_000 + 1000 * processNumber
}

function createFleet(opts: Schedule): FakeFleet {
  const { crashing, neverRestarted, keepsIds, failures, clockRate, linksMs } = opts
  const fleet = new FakeFleet({
    ...links,
    ...{ neverRestarted, failures, clockRate, linksMs },
    crashes: ({ jobId }) => crashing.some((at) => jobId === `job${at}`),
    ...(keepsIds ? { bornMs: getBornMs } : {}),
  })
  fleet.elect()
  return fleet
}

/** Plays the schedule until the links have been healed for `recoveryMs`. */
async function play(fleet: FakeFleet, { series, jobs, crashes, elections }: Schedule) {
  const at = (atMs: number, act: () => void): void => {
    fleet.clock.setTimer(atMs, act)
  }
  jobs.forEach(({ atMs, priority, accelerators, ...step }, number) => {
    const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators }
    at(atMs, () => {
      fleet.submit(createJob(`job${number}`, { ...step, needs }), priority)
    })
  })
  for (const { atMs, ...cuts } of series) at(atMs, () => void playCuts(fleet, cuts))
  for (const { atMs, ...crash } of crashes)
    at(atMs, () => {
      fleet.inject({ kind: 'crash', ...crash })
    })
  for (const { atMs, zombieMs } of elections)
    at(atMs, () => {
      fleet.elect(zombieMs)
    })
  await fleet.clock.advance(longestMs(series))
  fleet.healLinks()
  await fleet.clock.advance(recoveryMs)
  fleet.leader?.stop()
}

/** Returns when the last cut, and the last other fault, is over. */
function longestMs(series: Schedule['series']): number {
  const ends = series.map(({ atMs, forMs, pauseMs, rounds }) => atMs + rounds * (forMs + pauseMs))
  return Math.max(faultPhaseMs, ...ends)
}

/** Returns how many tasks of sound jobs were started so often that silence alone could have given them up. */
function countOftenStarted({ ledger }: FakeFleet): number {
  return ledger.starts.filter(({ jobId, attempt }) => attempt === 5 && !ledger.canBeGivenUp(jobId))
    .length
}

/**
 * Lists the jobs that have not ended, but for crashing ones that wait for upstreams that never come back: only these could
 * tell whether they crashed.
 */
function listUnsettled(fleet: FakeFleet, { crashing }: Schedule): string[] {
  const waitsForGood = (task: TaskRecord): boolean =>
    isHeldBack(task) && listSilences(task).every(({ upstreamId }) => !fleet.canSettle(upstreamId))
  return [...fleet.state.unsettled].flatMap(([jobId, { steps }]) => {
    const isCrashing = crashing.some((at) => jobId === `job${at}`)
    const isExcused = isCrashing && steps.some(({ tasks }) => tasks.some(waitsForGood))
    return isExcused ? [] : [jobId]
  })
}

/** Checks that sound jobs have completed, and that crashing ones have failed if each upstream has come back. */
function checkStatuses({ state, ledger }: FakeFleet, { crashing, neverRestarted }: Schedule): void {
  const statuses = [...state.jobs].map(([jobId, { status }]) => ({ jobId, status }))
  const isCrashing = (jobId: string): boolean => crashing.some((at) => jobId === `job${at}`)
  const incomplete = statuses.filter(
    ({ jobId, status }) =>
      status !== 'completed' && !isCrashing(jobId) && !ledger.canBeGivenUp(jobId),
  )
  assert.deepEqual(incomplete, [])
  if (neverRestarted.length > 0) return
  const notFailed = statuses.filter(({ jobId, status }) => status !== 'failed' && isCrashing(jobId))
  assert.deepEqual(notFailed, [])
}

test('with any cuts beyond leases, crashes and leader changes, no job is given up without cause, and every sound one completes', async (t) => {
  let oftenStarted = 0
  const property = fc.asyncProperty(schedule, async (opts) => {
    const fleet = createFleet(opts)
    await play(fleet, opts)
    assert.deepEqual(fleet.ledger.violations, [])
    assert.deepEqual(listUnsettled(fleet, opts), [])
    checkStatuses(fleet, opts)
    oftenStarted += countOftenStarted(fleet)
  })
  await fc.assert(property, { numRuns, includeErrorInReport: true, endOnFailure: true })
  t.true(oftenStarted > numRuns, `only ${oftenStarted} tasks of sound jobs were started five times`)
})
