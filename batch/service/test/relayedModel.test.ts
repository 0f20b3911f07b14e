/**
 * Property test of the leader whose calls go through relays: as `leaderModel.test.ts`, with relays that are killed, frozen,
 * cut off, get batches twice or lose them. Time is a manual clock.
 */
import type { JobRequest, StepSpec } from '@nettlespur/batch.model'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import {
  FakeFleet,
  upstreamCount,
  type FakeFleetOptions,
  type FleetFault,
  type LinkFault,
  type RelayFault,
} from '../__utils__/index.js'

const numRuns = 60
const faultPhaseMs = 20_000
const recoveryMs = 90_000
/** Ten calls a second for each upstream, as in `leaderModel.test.ts`. */
const maxHoldCalls = (10 * upstreamCount * (faultPhaseMs + recoveryMs)) / 1000

const upstream = fc.nat(upstreamCount - 1)
const relayFault = fc.record({
  kind: fc.constant('relay' as const),
  relay: fc.nat(1),
  fault: fc.constantFrom<RelayFault>('killed', 'frozen', 'cut', 'duplicating', 'deaf'),
  forMs: fc.integer({ min: 20, max: 15_000 }),
})
const linkFault = fc.record({
  kind: fc.constant('fault' as const),
  fault: fc.constantFrom<LinkFault>('answer-lost', 'late', 'refused', 'silent', 'unread-rows'),
  calls: fc.integer({ min: 1, max: 6 }),
})
const otherFault: fc.Arbitrary<FleetFault> = fc.oneof(
  linkFault,
  fc.record({
    kind: fc.constant('cut' as const),
    upstream,
    forMs: fc.integer({ min: 500, max: 15_000 }),
  }),
  fc.record({
    kind: fc.constant('crash' as const),
    upstream,
    downMs: fc.integer({ min: 5, max: 7500 }),
  }),
  fc.record({
    kind: fc.constant('new-leader' as const),
    zombieMs: fc.integer({ min: 0, max: 800 }),
  }),
  fc.record({ kind: fc.constant('cancel' as const), job: fc.nat(5) }),
)

const jobSteps: fc.Arbitrary<StepSpec[]> = fc
  .array(
    fc.record({
      taskCount: fc.integer({ min: 1, max: upstreamCount }),
      accelerators: fc.integer({ min: 1, max: 8 }),
      expectedRunTimeMs: fc.integer({ min: 50, max: 6000 }),
      isGang: fc.boolean(),
    }),
    { minLength: 1, maxLength: 2 },
  )
  .map((steps) =>
    steps.map(({ taskCount, accelerators, expectedRunTimeMs, isGang }, at) => ({
      taskCount,
      needs: { cpuMillicores: 100, memoryMiB: 100, accelerators },
      expectedRunTimeMs,
      dependsOn: at === 0 ? [] : [at - 1],
      isGang,
      prefersOneRack: false,
      checkpoints: false,
    })),
  )

const timed = <T>(fault: fc.Arbitrary<T>) => fc.record({ atMs: fc.nat(faultPhaseMs), fault })

const schedule = fc.record({
  jobs: fc.array(fc.record({ atMs: fc.nat(8000), steps: jobSteps, priority: fc.nat(2) }), {
    minLength: 1,
    maxLength: 6,
  }),
  relayFaults: fc.array(timed(relayFault), { minLength: 1, maxLength: 8 }),
  otherFaults: fc.array(timed(otherFault), { maxLength: 8 }),
  failures: fc.array(fc.nat(9), { minLength: 5, maxLength: 5 }),
  clockRate: fc.constantFrom(0.98, 0.99, 1),
  lateMs: fc.integer({ min: 300, max: 12_000 }),
  linksMs: fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 7 }),
  /** With 4 or 5, relaying begins and ends as upstreams restart. */
  relayFromUpstreams: fc.constantFrom(1, 1, 4, 5),
})
type Schedule = typeof schedule extends fc.Arbitrary<infer T> ? T : never

test('with any faults of relays, links, upstreams and leaders, no task runs twice, too early or after its end, and every job ends', async (t) => {
  let relayedCalls = 0
  await fc.assert(
    fc.asyncProperty(schedule, async (opts) => {
      relayedCalls += await checkSchedule(opts)
    }),
    { numRuns, includeErrorInReport: true },
  )
  t.true(relayedCalls > 10 * numRuns, `only ${relayedCalls} calls went through relays`)
})

test('with relays, upstreams that restart under the id that they had and any other faults, no task runs twice, too early or after its end, and every job ends', async (t) => {
  let relayedCalls = 0
  const clockSteps = fc.array(fc.integer({ min: -10_000, max: 10_000 }), {
    minLength: 1,
    maxLength: 5,
  })
  await fc.assert(
    fc.asyncProperty(schedule, clockSteps, fc.boolean(), async (opts, steps, remembersCursor) => {
      const bornMs = (processNumber: number): number =>
        1_790_000_000_000 + 1000 * (steps[processNumber % steps.length] ?? 0) + processNumber
      relayedCalls += await checkSchedule(opts, { bornMs, remembersCursor })
    }),
    { numRuns, includeErrorInReport: true, endOnFailure: true },
  )
  t.true(relayedCalls > 10 * numRuns, `only ${relayedCalls} calls went through relays`)
})

/** Returns how many calls went through relays. */
async function checkSchedule(
  { jobs, relayFaults, otherFaults, ...opts }: Schedule,
  restarts: Pick<FakeFleetOptions, 'bornMs' | 'remembersCursor'> = {},
): Promise<number> {
  const fleet = new FakeFleet({ ...opts, ...restarts })
  fleet.elect()
  jobs.forEach(({ atMs, steps, priority }, at) => {
    const request: JobRequest = { jobId: `job${at}`, payload: '', steps }
    fleet.clock.setTimer(atMs, () => {
      fleet.submit(request, priority)
    })
  })
  for (const { atMs, fault } of [...relayFaults, ...otherFaults]) {
    fleet.clock.setTimer(atMs, () => {
      fleet.inject(fault)
    })
  }
  await fleet.clock.advance(faultPhaseMs)
  fleet.healLinks()
  await fleet.clock.advance(recoveryMs)
  fleet.leader?.stop()
  assert.deepEqual(fleet.ledger.violations, [])
  assert.deepEqual([...fleet.state.unsettled.keys()], [])
  assert.ok(fleet.port.holdCalls < maxHoldCalls, `${fleet.port.holdCalls} hold calls`)
  return fleet.relays.metrics.counterValue('relayed_calls_total')
}
