/**
 * The mixes of the deployments under hard load. A mix whose demand or speeds differ from what its users state would show
 * gains and losses that they never see, and one that differs from run to run could not be compared in pairs.
 */
import test from 'ava'
import {
  builds,
  createCrowdedDay,
  createTroubledDay,
  growDeployment,
  playDay,
  rosters,
} from '../src/index.js'
import { DemandCurve } from '../src/demandCurve.js'
import { SeededRandom } from '@nettlespur/bench.placement'

const seeds = Array.from({ length: 120 }, (_, at) => at + 1)
const days = seeds.map((seed) => createCrowdedDay(rosters, seed))
const jobs = days.flatMap((day) => day.jobs)

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function isNear(measured: number, stated: number, share: number): boolean {
  return Math.abs(measured - stated) <= stated * share
}

test('a troubled day of each mix is the same each time it is played', (t) => {
  for (const mix of [rosters, builds]) {
    const small = growDeployment(mix, 24)
    const first = playDay(createTroubledDay(small, 3), 3)
    const second = playDay(createTroubledDay(small, 3), 3)
    t.deepEqual(first.verdict, second.verdict, mix.name)
    t.is(first.wastedCoreSeconds, second.wastedCoreSeconds, mix.name)
  }
})

test('run times of all kinds have the stated mean, with the stragglers', (t) => {
  for (const kind of rosters.kinds) {
    const taskMs = jobs
      .filter((job) => job.kind === kind)
      .flatMap(({ runTimesMs, taskTimes = [] }) => {
        const [ms = 0] = runTimesMs
        const [times = []] = taskTimes
        return times.length === 0 ? [ms] : [meanOf(times) * ms]
      })
    t.true(isNear(meanOf(taskMs), kind.runTime.meanMs, 0.06), `${kind.name}: ${meanOf(taskMs)}`)
  }
})

test('as many upstreams have each of the stated speeds', (t) => {
  for (const mix of [rosters, builds]) {
    const paces = seeds.flatMap((seed) => [...createCrowdedDay(mix, seed).troubles.paces.values()])
    t.true(isNear(meanOf(paces), meanOf(mix.paces ?? []), 0.01), mix.name)
    t.deepEqual(new Set([...paces].sort()), new Set(mix.paces), mix.name)
  }
})

test('an upstream is as fast on the troubled day as on the crowded day of the same seed', (t) => {
  const crowded = createCrowdedDay(rosters, 5).troubles.paces
  t.deepEqual(createTroubledDay(rosters, 5).troubles.paces, crowded)
})

test('waves and bursts leave the mean of the kinds that have no burst, and double the work in the bursts', (t) => {
  const demand = rosters.demand ?? t.fail()
  const lengthMs = 26_000
  const loadAt = (curve: DemandCurve, atMs: number): number =>
    rosters.kinds.reduce((sum, kind) => sum + measureLoad(kind) * curve.timesAt(kind, atMs), 0)
  const calm = rosters.kinds.reduce((sum, kind) => sum + measureLoad(kind), 0)
  const peaks = seeds.map((seed) => {
    const curve = new DemandCurve(new SeededRandom(seed), { ...demand, lengthMs })
    const moments = Array.from({ length: lengthMs / 100 }, (_, at) => at * 100)
    for (const kind of rosters.kinds.filter(({ name }) => name !== 'urgent')) {
      const times = meanOf(moments.map((atMs) => curve.timesAt(kind, atMs)))
      t.true(isNear(times, 1, 0.01), kind.name)
    }
    return Math.max(...moments.map((atMs) => loadAt(curve, atMs))) / calm
  })
  t.true(isNear(meanOf(peaks), 2, 0.1), `${meanOf(peaks)}`)
})

test('jobs arrive as often as the demand says', (t) => {
  const seconds = (seeds.length * 34_000) / 1000
  for (const kind of rosters.kinds.filter(({ name }) => name !== 'urgent')) {
    const count = jobs.filter((job) => job.kind === kind).length
    t.true(isNear(count / seconds, kind.jobsPerSecond, 0.1), kind.name)
  }
})

test('three of ten workspaces send half of the jobs, and guarantees follow the size of a workspace', (t) => {
  const largest = ['workspace-0', 'workspace-1', 'workspace-2']
  const share = jobs.filter(({ workspace }) => largest.includes(workspace)).length / jobs.length
  t.true(isNear(share, 0.5, 0.1), `${share}`)
  const guarantees = days[0]?.config.workspaces.map((workspace) => workspace.guaranteedAccelerators)
  const total = (guarantees ?? []).reduce((sum, count) => sum + count, 0)
  t.true(isNear(total, 0.62 * 245 * 8, 0.01), `${total}`)
  t.true((guarantees?.[0] ?? 0) > 4 * (guarantees?.[9] ?? 0))
})

test('what runs on an upstream that flaps is lost, and its next process takes all work that is left', (t) => {
  const day = { ...createCrowdedDay(rosters, 3), losses: [] }
  const flaps = day.upstreams.map(({ upstreamId }) => {
    return { upstreamId, atMs: 12_000, upAtMs: 13_000 }
  })
  const steady = playDay(day, 3)
  const flapping = playDay({ ...day, troubles: { ...day.troubles, flaps } }, 3)
  t.true(flapping.wastedCoreSeconds > steady.wastedCoreSeconds)
  t.is(flapping.givenUpSound, 0)
  t.true(flapping.verdict.unserved < 0.05)
})

/** Accelerators in use on average. */
function measureLoad(kind: (typeof rosters.kinds)[number]): number {
  const perTask = meanOf(kind.accelerators)
  const steps = 1 + kind.secondStepShare
  return kind.jobsPerSecond * steps * kind.tasks.mean * perTask * kind.runTime.meanMs
}
