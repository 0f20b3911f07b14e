/**
 * Guards against an outage of all callers by the content of one job: with very many tasks it ended each leader in turn as its
 * rounds threw, and nothing awaited them.
 */
import { createJob } from '@nettlespur/batch.samples'
import type { StepSpec } from '@nettlespur/batch.model'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test, { type ExecutionContext } from 'ava'
import { createRecorder, startFleet, type FakeFleet } from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 2 }
const nothing = { cpuMillicores: 0, memoryMiB: 0, accelerators: 0 }
const expectedRunTimeMs = 500
const otherCount = 10
/** Within which the other callers' jobs have to start. */
const startMsMax = 2000

function submitOthers(fleet: FakeFleet): string[] {
  const jobIds = Array.from({ length: otherCount }, (_, at) => `other${at}`)
  for (const jobId of jobIds) fleet.submit(createJob(jobId, { needs, expectedRunTimeMs }), 0)
  return jobIds
}

async function assertOthersServed(t: ExecutionContext, fleet: FakeFleet): Promise<void> {
  const jobIds = submitOthers(fleet)
  await fleet.clock.advance(startMsMax + expectedRunTimeMs)
  const started = new Set(fleet.ledger.starts.map(({ jobId }) => jobId))
  t.deepEqual(
    jobIds.filter((jobId) => !started.has(jobId)),
    [],
  )
  await fleet.clock.advance(otherCount * expectedRunTimeMs)
  for (const jobId of jobIds) t.is(fleet.state.jobs.get(jobId)?.status, 'completed', jobId)
  t.deepEqual(fleet.ledger.violations, [])
}

const wideSteps: readonly (readonly [string, Partial<StepSpec>])[] = [
  ['many tasks', {}],
  ['many tasks of which few may share an upstream', { tasksPerUpstreamMax: 2 }],
  // Several rounds place it; the fake upstreams are too slow for more.
  ['many tasks that need nothing', { taskCount: 2000, needs: nothing }],
  ['a gang that fits nowhere', { isGang: true }],
]

for (const [name, step] of wideSteps) {
  test(`a job of ${name} does not keep other callers from being served`, async (t) => {
    const fleet = await startFleet()
    // More than the arguments that one call takes.
    const taskCount = 150_000
    fleet.submit(createJob('wide', { needs, expectedRunTimeMs, taskCount, ...step }), 1)
    await fleet.clock.advance(startMsMax)
    await assertOthersServed(t, fleet)
  })
}

class FailingMetrics extends MetricsRegistry {
  failsRounds = false

  override recordMs(name: string, ms: number): void {
    if (this.failsRounds && name === 'scheduling_round_ms') throw new Error('the round fails')
    super.recordMs(name, ms)
  }
}

/** Three rounds that fail, and the pauses between them. */
const handOverMsMax = 4000

/** Makes each look at the tasks of the job fail. */
function damage(fleet: FakeFleet, jobId: string): void {
  const step = fleet.state.jobs.get(jobId)?.steps[0]
  const fail = (): never => {
    throw new TypeError('the job is damaged')
  }
  Object.defineProperty(step, 'tasks', { get: fail })
}

test('a job that makes rounds fail is left out of them with a log line, and the others are served', async (t) => {
  const { logger, findEvents } = createRecorder()
  const fleet = await startFleet({ logger })
  fleet.submit(createJob('damaged', { needs }), 0)
  damage(fleet, 'damaged')
  await assertOthersServed(t, fleet)
  const leftOut = findEvents('job.left-out')
  t.is(leftOut.length, 1)
  t.like(leftOut[0], { jobId: 'damaged', reason: 'TypeError: the job is damaged' })
})

test('a leader whose rounds fail without the fault of a job says so and hands over, and does not end', async (t) => {
  const { logger, findEvents } = createRecorder()
  const metrics = new FailingMetrics()
  const fleet = await startFleet({ logger, metrics })
  const first = fleet.leader
  metrics.failsRounds = true
  await fleet.clock.advance(handOverMsMax)
  metrics.failsRounds = false
  t.true(findEvents('round.failed').length > 0)
  t.not(fleet.leader, first)
  await assertOthersServed(t, fleet)
})
