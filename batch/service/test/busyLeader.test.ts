/** Guards against a leader short of processor time whose rounds take the time in which it would answer calls. */
import { noResources, planRound } from '@nettlespur/batch.scheduler'
import { BatchState, type Command } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import test, { type ExecutionContext } from 'ava'
import { createFleetConfig } from '../__utils__/createFleetConfig.js'
import { createRecorder } from '../__utils__/recorder.js'
import { buildSchedulerView } from '../src/buildSchedulerView.js'
import { JobClock } from '../src/jobClock.js'
import { RetryBackoff } from '../src/retryBackoff.js'
import { SchedulingRounds, type SchedulingRoundsOptions } from '../src/schedulingRounds.js'

const watchedMs = 5000

/** A clock on which work takes time. */
class BusyClock extends ManualClock {
  workedMs = 0

  override monotonicMs(): number {
    return super.monotonicMs() + this.workedMs
  }
}

/** Returns the share of the time that rounds of this length take while every change calls for another one. */
async function measureRoundShare(t: ExecutionContext, roundMs: number): Promise<number> {
  const clock = new BusyClock()
  const stopping = new AbortController()
  t.teardown(() => {
    stopping.abort()
  })
  const jobClock = new JobClock()
  jobClock.update = () => {
    clock.workedMs += roundMs
  }
  const state = new BatchState()
  const rounds = new SchedulingRounds({
    clock,
    ...createRecorder(),
    timings: { keepEndedMs: 1000 } as SchedulingRoundsOptions['timings'],
    roster: { listLeaving: () => [] } as unknown as SchedulingRoundsOptions['roster'],
    jobClock,
    retryBackoff: new RetryBackoff(),
    getSpeed: () => t.fail(),
    getState: () => state,
    shouldStop: () => false,
    listPlacements: () => new Map(),
    preempt: () => undefined,
    tryPropose: () => Promise.resolve(true),
    onFailing: () => t.fail(),
    signal: stopping.signal,
  })
  void rounds.run()
  while (clock.monotonicMs() < watchedMs) {
    rounds.requestRound()
    await clock.advance(1)
  }
  return clock.workedMs / clock.monotonicMs()
}

for (const roundMs of [5, 12, 25]) {
  test(`rounds of ${roundMs} ms leave four fifths of a leader's time to calls`, async (t) => {
    const share = await measureRoundShare(t, roundMs)
    t.true(share <= 0.21, `rounds took ${share}`)
  })
}

test('a round is put off by no more than 100 ms, however long rounds take', async (t) => {
  const share = await measureRoundShare(t, 200)
  t.true(share >= 0.6, `rounds took ${share}`)
})

test('a round in which nothing waits looks at no upstream', (t) => {
  const state = new BatchState()
  const description = { upstreamId: 'u', pool: 'pool', address: '127.0.0.1:1', dataCentre: 'c' }
  const commands: Command[] = [
    { type: 'apply-config', config: createFleetConfig() },
    {
      type: 'note-upstream',
      description: { ...description, rack: 'r', labels: [], capacity: noResources },
      sequence: 1,
    },
  ]
  for (const command of commands) state.apply(command)
  const fail = (): never => t.fail()
  const view = buildSchedulerView({
    state,
    nowMs: 0,
    isStopping: fail,
    listPlacements: fail,
    findTrack: fail,
    getSpeed: fail,
    acceptedAtMs: new Map(),
    getAvailability: fail,
    isCold: fail,
    isUnstable: fail,
    hasTrial: fail,
    isQuiet: fail,
    isLeftOut: fail,
    isPaused: fail,
    starvedMs: fail,
  })
  t.deepEqual(planRound(view).placements, [])
})
