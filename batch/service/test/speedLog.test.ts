/** Guards against log lines and counters of placement by speed that do not say why a unit was placed where it is. */
import { createJob, createConfig, createUpstream } from '@nettlespur/batch.samples'
import { certainSpeed, unknownSpeed } from '@nettlespur/batch.speeds'
import { BatchState } from '@nettlespur/batch.state'
import test from 'ava'
import { createRecorder } from '../__utils__/index.js'
import { listRuns } from '../src/buildSchedulerView.js'
import { SpeedLog } from '../src/speedLog.js'

const unit = { jobId: 'j', step: 0 }
const run = { ...unit, index: 0, attempt: 1, upstreamId: 'u0' }
const pool = { pool: 'pool', urgentSpeed: 2 / 3, slowUpstreams: 1, upstreams: 3 }
const pools = [pool]
const choice = { ...unit, neededSpeed: 0.6666, lowestSpeed: 1.2345, isTooSlow: false }

test('a placement says the speed that was needed, the lowest one chosen, and for how long it was held back', (t) => {
  const log = new SpeedLog(createRecorder())
  log.noteRound({ pools, choices: [], held: [unit] }, 1000)
  t.deepEqual(log.describe(run), {})
  log.noteRound({ pools, choices: [], held: [unit] }, 1200)
  log.noteRound({ pools, choices: [choice], held: [] }, 1500)
  t.deepEqual(log.describe(run), { neededSpeed: 0.67, lowestSpeed: 1.23, heldForSpeedMs: 500 })
  log.noteRound(undefined, 1600)
  t.deepEqual(log.describe(run), {})
})

test('units are counted by whether their upstreams are too slow for them, and holds are measured', (t) => {
  const recorder = createRecorder()
  const log = new SpeedLog(recorder)
  log.noteRound(
    { pools, choices: [choice, { ...choice, step: 1, isTooSlow: true }], held: [unit] },
    0,
  )
  log.noteRound({ pools, choices: [], held: [] }, 300)
  const text = recorder.metrics.render()
  t.regex(text, /units_placed_by_speed_total\S* 1/)
  t.regex(text, /units_placed_too_slow_total\S* 1/)
  t.regex(text, /unit_held_for_speed_ms/)
})

test('the log says once a minute which pools are placed by speed, and why', (t) => {
  const recorder = createRecorder()
  const log = new SpeedLog(recorder)
  for (let nowMs = 0; nowMs < 120_000; nowMs += 100) {
    log.noteRound(nowMs % 200 === 0 ? { pools, choices: [], held: [] } : undefined, nowMs)
  }
  const line = { event: 'pool.by-speed', ...pool, urgentSpeed: 0.67 }
  t.deepEqual(recorder.findEvents('pool.by-speed'), [line, line])
})

test('a run without progress is expected to end by the known speed of its upstream, and by its declaration otherwise', (t) => {
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  state.apply({ type: 'note-upstream', description: createUpstream('u0') })
  const request = createJob('j', { expectedRunTimeMs: 3000 })
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  state.apply({ type: 'place-tasks', placements: [run] })
  const opts = {
    state,
    nowMs: 1000,
    isStopping: () => false,
    listPlacements: (id: string) => state.placements.getByUpstream(id),
    findTrack: () => undefined,
  }
  const endMs = (speed: number, isKnown: boolean) =>
    listRuns({ ...opts, getSpeed: () => ({ ...certainSpeed(speed), isKnown }) }, 'u0')[0]
      ?.expectedEndMs
  t.is(listRuns({ ...opts, getSpeed: () => unknownSpeed }, 'u0')[0]?.expectedEndMs, 4000)
  t.is(endMs(0.5, true), 7000)
  t.is(endMs(0.5, false), 4000)
})
