/**
 * Guards against gangs that wait out a lease for nothing: an upstream ends without saying so, and the run of a gang member
 * on it counts as running until its lease of 9.5 s is over, although nothing listens at the address any more.
 */
import { createJob } from '@nettlespur/batch.samples'
import { UpstreamPort, type HoldAnswer } from '@nettlespur/batch.sessions'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import {
  openSession,
  settledMs,
  SlowHost,
  startFleet,
  upstreamCount,
  type FakeFleet,
} from '../__utils__/index.js'

const needs = { cpuMillicores: 100, memoryMiB: 100, accelerators: 8 }
const gang = { taskCount: 2, needs, isGang: true, expectedRunTimeMs: 4000 }
/** Until the next process starts: longer than the lease. */
const downMs = 20_000
/** Two polls without an answer, and rounds and commits. */
const noticedMs = 1500

/** Ends the process of an upstream on which the gang runs. */
function endMember(fleet: FakeFleet): void {
  const ids = fleet.state.jobs.get('job')?.steps[0]?.tasks.map(({ upstreamId }) => upstreamId) ?? []
  const numbers = Array.from({ length: upstreamCount }, (_, at) => at)
  const upstream = numbers.find((at) => ids.includes(fleet.upstreamIdOf(at))) ?? 0
  fleet.inject({ kind: 'crash', upstream, downMs })
}

test('a gang starts again at once if nothing listens at the address of a member', async (t) => {
  const fleet = await startFleet({ reportsRefusals: true })
  fleet.submit(createJob('job', gang), 0)
  await fleet.clock.advance(settledMs)
  endMember(fleet)
  await fleet.clock.advance(noticedMs)
  t.is(fleet.ledger.starts.length, 2 * gang.taskCount)
  await fleet.clock.advance(gang.expectedRunTimeMs + settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.deepEqual(fleet.ledger.violations, [])
})

test('where a refused connection proves nothing, a gang waits until the lease of its member is over', async (t) => {
  const fleet = await startFleet()
  fleet.submit(createJob('job', gang), 0)
  await fleet.clock.advance(settledMs)
  endMember(fleet)
  await fleet.clock.advance(noticedMs)
  t.is(fleet.ledger.starts.length, gang.taskCount)
})

test('an upstream whose process restarts before the second poll is not given up for a refused connection', async (t) => {
  const fleet = await startFleet({ reportsRefusals: true })
  fleet.inject({ kind: 'fault', fault: 'refused', calls: 1 })
  fleet.submit(createJob('job', { ...gang, taskCount: 1 }), 0)
  await fleet.clock.advance(gang.expectedRunTimeMs + 2 * settledMs)
  t.is(fleet.state.jobs.get('job')?.status, 'completed')
  t.is(fleet.ledger.starts.length, 1)
})

/** Starts and stops what it is told. Polls are answered as `polls` says, in this order, and then not at all. */
class ScriptedPort extends UpstreamPort {
  readonly #clock: ManualClock
  readonly #polls: ('refused' | 'silent')[]

  constructor(clock: ManualClock, polls: ('refused' | 'silent')[]) {
    super()
    this.#clock = clock
    this.#polls = polls
  }

  override start() {
    return Promise.resolve({ type: 'started', clockMs: this.#clock.monotonicMs() } as const)
  }

  override stop() {
    return Promise.resolve({ type: 'stopping', clockMs: this.#clock.monotonicMs() } as const)
  }

  override async hold(): Promise<HoldAnswer> {
    await this.#clock.sleep(100)
    if (this.#polls.shift() === 'refused') return { type: 'not-listening', clockMs: undefined }
    throw new NettlespurError('outcome-unknown', 'no answer')
  }
}

/** Longer than the polls of these tests take, and well within the lease. */
const polledMs = 2500

test('a refused connection and later polls without an answer do not end runs before their lease is over', async (t) => {
  const clock = new ManualClock()
  const host = new SlowHost(clock, 'u1')
  const port = new ScriptedPort(clock, ['refused', 'silent', 'refused', 'silent'])
  openSession({ clock, host, port }).start(host.place(0))
  await clock.advance(polledMs)
  t.is(host.listPlacements().size, 1)
})

test('refused connections before a start was answered do not count against the run', async (t) => {
  const clock = new ManualClock()
  const host = new SlowHost(clock, 'u1')
  const port = new ScriptedPort(clock, ['refused', 'refused', 'refused'])
  const session = openSession({ clock, host, port })
  session.start(host.place(0))
  await clock.advance(polledMs)
  t.is(host.listPlacements().size, 0)
  session.start(host.place(0, 2))
  await clock.advance(polledMs)
  t.is(host.listPlacements().size, 1)
})
