/**
 * Guards against tasks that run twice: an upstream that is cut off refuses connections and runs on, and its runs are taken
 * for ended before their lease is over.
 */
import { createJob } from '@nettlespur/batch.samples'
import type { StepSpec } from '@nettlespur/batch.model'
import test, { type ExecutionContext } from 'ava'
import {
  settledMs,
  startFleet,
  upstreamCount,
  type FakeFleet,
  type FleetFault,
} from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
const runTimeMs = 8000
/** Longer than the lease of 9.5 s, so that the runs of the upstream that is cut off lapse. */
const longRunTimeMs = 12_000
/** Shorter than the lease. */
const cutMs = 5500
/** The lease on a clock that is 2 % slow, and rounds and commits. */
const leaseOverMs = 11_000

type UnitStep = Partial<StepSpec> & Pick<StepSpec, 'taskCount'>

const steps: readonly (readonly [string, UnitStep])[] = [
  ['task', { taskCount: 1, needs, expectedRunTimeMs: runTimeMs }],
  ['gang', { taskCount: 2, needs, expectedRunTimeMs: runTimeMs, isGang: true }],
]

/** Starts a job, and cuts off an upstream on which one of its tasks runs. */
async function startCutOff(step: UnitStep, forMs: number): Promise<FakeFleet> {
  const fleet = await startFleet()
  fleet.submit(createJob('job', step), 0)
  await fleet.clock.advance(settledMs)
  const upstreamId = fleet.state.jobs.get('job')?.steps[0]?.tasks[0]?.upstreamId
  const numbers = Array.from({ length: upstreamCount }, (_, at) => at)
  const upstream = numbers.find((at) => fleet.upstreamIdOf(at) === upstreamId) ?? 0
  fleet.inject({ kind: 'cut', upstream, forMs, refuses: true })
  return fleet
}

async function checkRunsOnce(
  t: ExecutionContext,
  step: UnitStep,
  meanwhile: readonly FleetFault[] = [],
): Promise<void> {
  const fleet = await startCutOff(step, cutMs)
  for (const fault of meanwhile) {
    await fleet.clock.advance(cutMs / 3)
    fleet.inject(fault)
  }
  await fleet.clock.advance(runTimeMs + 2 * leaseOverMs)
  t.deepEqual(fleet.ledger.violations, [])
  t.is(fleet.ledger.starts.length, step.taskCount)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
}

for (const [unit, step] of steps) {
  test(`a ${unit} whose upstream refuses connections for a while and runs on is not started elsewhere`, async (t) => {
    await checkRunsOnce(t, step)
  })

  test(`a ${unit} is not started elsewhere if new leaders find that its upstream refuses connections`, async (t) => {
    await checkRunsOnce(t, step, [
      { kind: 'new-leader', zombieMs: 0 },
      { kind: 'new-leader', zombieMs: 500 },
    ])
  })

  test(`a ${unit} starts again once the lease of an upstream that refuses connections for good is over`, async (t) => {
    const fleet = await startCutOff({ ...step, expectedRunTimeMs: longRunTimeMs }, Infinity)
    await fleet.clock.advance(leaseOverMs + longRunTimeMs + settledMs)
    t.deepEqual(fleet.ledger.violations, [])
    t.is(fleet.ledger.starts.length, 2 * step.taskCount)
    t.is(fleet.state.jobs.get('job')?.status, 'completed')
  })
}
