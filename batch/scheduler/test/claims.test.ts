/**
 * Guards against guaranteed work that starts after its bound: newer claims take what was stopped for it, or it insists on
 * its rack for so long that a stop of the longest time comes too late.
 */
import { createJob } from '@nettlespur/batch.samples'
import test, { type ExecutionContext } from 'ava'
import * as fc from 'fast-check'
import { createGang, Fleet } from '../__utils__/index.js'

const claimBounds = { guaranteedStartMsMax: 3400, stopMsMax: 900 }

const whole = { cpuMillicores: 1000, memoryMiB: 1000, accelerators: 8 }

test('a claim that is due goes before a newer one that can still be on time', (t) => {
  const fleet = new Fleet('r1')
  fleet.claimBounds = claimBounds
  fleet.submit(createJob('borrower', createGang(1, 8)))
  fleet.decide()
  fleet.submit(createJob('due', createGang(1, 8, { expectedRunTimeMs: 100 })), 0)
  fleet.nowMs = claimBounds.guaranteedStartMsMax - claimBounds.stopMsMax - 500
  fleet.submit(createJob('newer', createGang(1, 8, { expectedRunTimeMs: 100 })), 0)
  t.deepEqual(
    fleet.decide().preemptions.map(({ forJobId }) => forJobId),
    ['due'],
  )
})

test('a guaranteed gang gives up its rack while there is time for the longest stop', (t) => {
  const fleet = new Fleet('r1', 'r1', 'r2', 'r2')
  fleet.claimBounds = { guaranteedStartMsMax: 2500, stopMsMax: 900 }
  fleet.getStopMs = () => 900
  fleet.guaranteedAccelerators = 32
  for (const rack of ['r1', 'r2']) {
    fleet.submit(createJob(`in-${rack}`, { needs: whole, requiredLabel: rack }), 0)
  }
  fleet.decide()
  fleet.submit(createJob('borrower', { needs: whole, taskCount: 2, expectedRunTimeMs: 60_000 }))
  fleet.decide()
  fleet.expectedEndsMs.set('borrower', 60_000)
  const gang = createGang(2, 8, { prefersOneRack: true, expectedRunTimeMs: 5000 })
  fleet.submit(createJob('gang', gang), 0)
  t.is(fleet.playUntil(2500).length, 2)
})

interface Borrower {
  readonly taskCount: number
  readonly expectedMs: number
  /** How long its runs really take. */
  readonly takesMs: number
  readonly isGang: boolean
}

interface Arrival {
  readonly taskCount: number
  readonly atMs: number
  readonly expectedMs: number
  readonly prefersOneRack: boolean
}

const borrower: fc.Arbitrary<Borrower> = fc.record({
  taskCount: fc.integer({ min: 1, max: 4 }),
  expectedMs: fc.integer({ min: 100, max: 5000 }),
  takesMs: fc.integer({ min: 100, max: 60_000 }),
  isGang: fc.boolean(),
})
const arrival: fc.Arbitrary<Arrival> = fc.record({
  taskCount: fc.integer({ min: 1, max: 3 }),
  atMs: fc.integer({ min: 0, max: 4000 }),
  expectedMs: fc.constantFrom(50, 200, 1000, 5000, 20_000),
  prefersOneRack: fc.boolean(),
})

interface FleetCase {
  readonly upstreamCount: number
  readonly borrowers: readonly Borrower[]
  readonly arrivals: readonly Arrival[]
  readonly stopsMs: readonly number[]
  readonly intervalsMs: readonly number[]
}

const fleetCase: fc.Arbitrary<FleetCase> = fc.record({
  upstreamCount: fc.integer({ min: 3, max: 10 }),
  borrowers: fc.array(borrower, { minLength: 1, maxLength: 8 }),
  arrivals: fc.array(arrival, { minLength: 1, maxLength: 10 }),
  stopsMs: fc.array(fc.constantFrom(0, 500, claimBounds.stopMsMax), { minLength: 1 }),
  intervalsMs: fc.array(fc.integer({ min: 20, max: 250 }), { minLength: 1 }),
})

/** Plays the case, and returns how long each guaranteed job waited for its start. */
function measureWaits(t: ExecutionContext, one: FleetCase): number[] {
  const { upstreamCount, borrowers, arrivals, stopsMs, intervalsMs } = one
  const fleet = new Fleet(...Array.from({ length: upstreamCount }, (_, at) => `r${at % 2}`))
  fleet.guaranteedAccelerators = upstreamCount * 8
  fleet.claimBounds = claimBounds
  let stopCount = 0
  let roundCount = 0
  fleet.getStopMs = () => stopsMs[stopCount++ % stopsMs.length] ?? 0
  fleet.getRoundIntervalMs = () => intervalsMs[roundCount++ % intervalsMs.length] ?? 100
  for (const [at, { taskCount, expectedMs, takesMs, isGang }] of borrowers.entries()) {
    const jobId = `borrower${at}`
    const step = { taskCount, needs: whole, isGang, expectedRunTimeMs: expectedMs }
    fleet.submit(createJob(jobId, step), 1)
    fleet.runTimesMs.set(jobId, takesMs)
    fleet.expectedEndsMs.set(jobId, expectedMs)
  }
  fleet.decide()
  // Only what fits into the guarantee together is owed a start.
  let left = upstreamCount
  const owed = [...arrivals]
    .sort((first, second) => first.atMs - second.atMs)
    .filter(({ taskCount }) => (left -= taskCount) >= 0)
  const submittedAtMs = new Map<string, number>()
  const waits = new Map<string, number>()
  fleet.playUntil(10_000, () => {
    for (const [at, { taskCount, atMs, ...step }] of owed.entries()) {
      const jobId = `claim${at}`
      const job = fleet.state.jobs.get(jobId)
      if (atMs <= fleet.nowMs && job === undefined) {
        submittedAtMs.set(jobId, fleet.nowMs)
        fleet.submit(
          createJob(
            jobId,
            createGang(taskCount, 8, {
              expectedRunTimeMs: step.expectedMs,
              prefersOneRack: step.prefersOneRack,
            }),
          ),
          0,
        )
      }
      if (
        waits.has(jobId) ||
        job?.steps[0]?.tasks.some(({ phase }) => phase === 'waiting') !== false
      )
        continue
      waits.set(jobId, fleet.nowMs - (submittedAtMs.get(jobId) ?? 0))
    }
  })
  t.is(waits.size, owed.length)
  return [...waits.values()]
}

test('a guaranteed unit starts within its bound, whatever runs and stops take', (t) => {
  fc.assert(
    fc.property(fleetCase, (one) => {
      const waits = measureWaits(t, one)
      return waits.every((waitedMs) => waitedMs <= claimBounds.guaranteedStartMsMax)
    }),
    { numRuns: 300 },
  )
})
