/**
 * Guards against a ledger that takes the silence of an upstream for a crash: models would then accept that a job is given up
 * because links were cut, although nothing failed or crashed.
 */
import type { JobRequest, RunRef } from '@nettlespur/batch.model'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { FakeUpstream, FleetLedger } from '../src/index.js'

const leaseMs = 1000
const runTimeMs = 5000
const failingRunTimeMs = 100
const attemptsMax = 3
const run: RunRef = { jobId: 'job', step: 0, index: 0, attempt: 1 }

function createJob(expectedRunTimeMs: number, isGang: boolean): JobRequest {
  const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 1 }
  const flags = { isGang, prefersOneRack: false, checkpoints: false }
  const step = { taskCount: 1, needs, expectedRunTimeMs, dependsOn: [], ...flags }
  return { jobId: run.jobId, payload: '', steps: [step] }
}

interface FleetOptions {
  outcome?: 'done' | 'failed'
  isGang?: boolean
}

class Fleet {
  readonly clock = new ManualClock()
  readonly ledger: FleetLedger
  upstream: FakeUpstream
  #processes = 0

  constructor({ outcome = 'done', isGang = false }: FleetOptions = {}) {
    const decideOutcome = () => outcome
    const opts = { clock: this.clock, acceleratorsEach: 8, attemptsMax, decideOutcome }
    this.ledger = new FleetLedger(opts)
    this.ledger.addJob(createJob(outcome === 'done' ? runTimeMs : failingRunTimeMs, isGang))
    this.upstream = this.restart()
  }

  restart(): FakeUpstream {
    this.#processes += 1
    const { clock, ledger } = this
    const upstreamId = `process${this.#processes}`
    const opts = { upstreamId, address: '127.0.0.1:9000', clock, clockRate: 1, ledger }
    this.upstream = new FakeUpstream(opts)
    return this.upstream
  }

  start(attempt: number): void {
    const leaseEndMs = this.upstream.clockMs + leaseMs
    this.upstream.start({
      run: { ...run, attempt },
      payload: '',
      checkpoint: '',
      leaseEndMs,
      fence: 1,
    })
  }

  get canBeGivenUp(): boolean {
    return this.ledger.canBeGivenUp(run.jobId)
  }
}

for (const isGang of [false, true]) {
  const what = isGang ? 'a gang' : 'a task'

  test(`runs of ${what} that lapse on an upstream that runs on are no reason to give up its job`, async (t) => {
    const fleet = new Fleet({ isGang })
    for (let attempt = 1; attempt <= 10; attempt++) {
      fleet.start(attempt)
      await fleet.clock.advance(2 * leaseMs)
      t.false(fleet.upstream.holds({ ...run, attempt }))
    }
    t.false(fleet.canBeGivenUp)
  })

  test(`a crash of the upstream after the runs of ${what} have lapsed there is no reason to give up its job`, async (t) => {
    const fleet = new Fleet({ isGang })
    for (let attempt = 1; attempt <= 10; attempt++) {
      fleet.start(attempt)
      await fleet.clock.advance(2 * leaseMs)
      fleet.upstream.crash()
      fleet.restart()
    }
    t.false(fleet.canBeGivenUp)
  })

  test(`two crashes under ${what} are a reason to give up its job, one is not`, (t) => {
    const fleet = new Fleet({ isGang })
    fleet.start(1)
    fleet.upstream.crash()
    t.false(fleet.canBeGivenUp)
    fleet.restart()
    fleet.start(2)
    fleet.upstream.crash()
    t.true(fleet.canBeGivenUp)
  })

  test(`as many failed runs of ${what} as its queue allows attempts are a reason to give up its job, one less is not`, async (t) => {
    const fleet = new Fleet({ isGang, outcome: 'failed' })
    for (let attempt = 1; attempt <= attemptsMax; attempt++) {
      t.false(fleet.canBeGivenUp)
      fleet.start(attempt)
      await fleet.clock.advance(2 * failingRunTimeMs)
    }
    t.true(fleet.canBeGivenUp)
  })
}

test('a crash and lapsed runs together are no reason to give up a job', async (t) => {
  const fleet = new Fleet()
  fleet.start(1)
  fleet.upstream.crash()
  fleet.restart()
  for (let attempt = 2; attempt <= 10; attempt++) {
    fleet.start(attempt)
    await fleet.clock.advance(2 * leaseMs)
  }
  t.false(fleet.canBeGivenUp)
})
