/**
 * A leader with relays and its upstreams, with one failure each: what callers get. A relay that fails must cost no more
 * than a slow link would, and never a second run of a task that still runs.
 */
import type { JobRequest } from '@nettlespur/batch.model'
import test, { type ExecutionContext } from 'ava'
import { FakeFleet, relayAddresses, type RelayFault } from '../__utils__/index.js'

const [relay] = relayAddresses

/** One task for each upstream, so that some of them are assigned to each member. */
const job: JobRequest = {
  jobId: 'job0',
  payload: 'payload',
  steps: [
    {
      taskCount: 4,
      needs: { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 },
      expectedRunTimeMs: 4000,
      dependsOn: [],
      isGang: false,
      prefersOneRack: false,
      checkpoints: false,
    },
  ],
}

async function startFleet(relayFromUpstreams?: number): Promise<FakeFleet> {
  const fleet = new FakeFleet({
    clockRate: 1,
    lateMs: 3000,
    failures: [],
    linksMs: [2],
    ...(relayFromUpstreams === undefined ? {} : { relayFromUpstreams }),
  })
  fleet.elect()
  await fleet.clock.advance(3000)
  return fleet
}

/** Runs the job with the fault from `faultAtMs` after its submission on. Returns when it had ended. */
async function runJob(
  t: ExecutionContext,
  fleet: FakeFleet,
  fault?: { kind: RelayFault; atMs: number; forMs: number },
): Promise<number> {
  const beginMs = fleet.clock.monotonicMs()
  fleet.submit(job, 0)
  if (fault !== undefined) {
    for (const at of relayAddresses.keys())
      fleet.clock.setTimer(fault.atMs, () => {
        fleet.inject({ kind: 'relay', relay: at, fault: fault.kind, forMs: fault.forMs })
      })
  }
  while (fleet.state.unsettled.size > 0 && fleet.clock.monotonicMs() - beginMs < 60_000)
    await fleet.clock.advance(50)
  t.is(fleet.state.jobs.get('job0')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
  return fleet.clock.monotonicMs() - beginMs
}

test('without failures a job takes at most 100 ms longer through relays', async (t) => {
  const direct = await runJob(t, await startFleet())
  const fleet = await startFleet(1)
  const relayed = await runJob(t, fleet)
  t.true(relayed <= direct + 100, `${relayed} ms instead of ${direct} ms`)
  t.true(fleet.relays.metrics.counterValue('relayed_calls_total') > 0)
  t.is(fleet.relays.metrics.counterValue('relay_calls_given_up_total'), 0)
})

for (const kind of ['killed', 'frozen', 'cut'] as const) {
  test(`runs whose relays are ${kind} go on, end once and are not started again`, async (t) => {
    const fleet = await startFleet(1)
    const tookMs = await runJob(t, fleet, { kind, atMs: 1000, forMs: 20_000 })
    t.true(tookMs < 6000, `${tookMs} ms`)
    t.is(fleet.port.startCalls, 4)
  })

  test(`runs whose starts are in doubt because their relays are ${kind} run once at a time, and the job ends`, async (t) => {
    const fleet = await startFleet(1)
    const tookMs = await runJob(t, fleet, { kind, atMs: 22, forMs: 20_000 })
    t.true(tookMs < 15_000, `${tookMs} ms`)
  })
}

test('a new leader takes the runs over through the relays of the former one, and none is started again', async (t) => {
  const fleet = await startFleet(1)
  fleet.clock.setTimer(1000, () => {
    fleet.inject({ kind: 'new-leader', zombieMs: 800 })
  })
  await runJob(t, fleet)
  t.is(fleet.port.startCalls, 4)
  t.true(fleet.relays.servingAddresses.includes(relay))
})
