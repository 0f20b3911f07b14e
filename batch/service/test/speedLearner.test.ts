/** Guards against speeds learned from runs that something else slows down, and against impossible progress that is used. */
import { createConfig, createJob, createUpstream } from '@nettlespur/batch.samples'
import type { StepSpec } from '@nettlespur/batch.model'
import { BatchState, type Placement } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { createRecorder } from '../__utils__/index.js'
import { RecordFaultReporter } from '../src/recordFaultReporter.js'
import { SpeedLearner } from '../src/speedLearner.js'

const cold = 'cold'
/** Upstreams by rack. */
const racks = { a1: 'a', a2: 'a', b1: 'b', [cold]: 'a' }
const pace = { progress: 0.5, elapsedMs: 1000 }

/** Places the tasks of a job on these upstreams. */
function placeJob(upstreamIds: readonly string[], step: Partial<StepSpec> = {}) {
  const clock = new ManualClock()
  const { logger, metrics, findEvents } = createRecorder()
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (const [id, rack] of Object.entries(racks)) {
    state.apply({ type: 'note-upstream', description: createUpstream(id, rack) })
  }
  const request = createJob('j', { taskCount: upstreamIds.length, ...step })
  state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue1' })
  const placements = upstreamIds.map((upstreamId, index): Placement => {
    return { jobId: 'j', step: 0, index, attempt: 1, upstreamId }
  })
  state.apply({ type: 'place-tasks', placements })
  const faults = new RecordFaultReporter({ clock, logger, metrics })
  const isCold = (upstreamId: string): boolean => upstreamId === cold
  const getState = (): BatchState => state
  const createLearner = () => new SpeedLearner({ clock, metrics, faults, getState, isCold })
  const [run] = placements
  if (run === undefined) throw new Error('no placement')
  return { clock, state, metrics, findEvents, placements, run, createLearner }
}

function isObserved(upstreamIds: readonly string[], step: Partial<StepSpec> = {}): boolean {
  const { createLearner, run, metrics } = placeJob(upstreamIds, step)
  const learner = createLearner()
  const isWanted = learner.isWanted(run)
  learner.notePace(run, pace)
  return isWanted && metrics.counterValue('speed_observations_total') === 1
}

test('the pace of a task is taken', (t) => {
  t.true(isObserved(['a1']))
})

test('the pace of a gang in one rack is taken if it wants one, and of any other gang anywhere', (t) => {
  t.true(isObserved(['a1', 'a2'], { isGang: true, prefersOneRack: true }))
  t.true(isObserved(['a1', 'b1'], { isGang: true }))
})

// Each of these is several times slower for a reason that is not the upstream's speed.
test('the pace is not taken on a cold upstream, away from the data rack, or of a gang that wants one rack and is spread', (t) => {
  t.false(isObserved([cold]))
  t.false(isObserved(['a1', cold], { isGang: true }))
  t.false(isObserved(['b1'], { dataRack: 'a' }))
  t.true(isObserved(['a1'], { dataRack: 'a' }))
  t.false(isObserved(['a1', 'b1'], { isGang: true, prefersOneRack: true }))
})

test('a gang attempt is observed once, whichever members report its pace', (t) => {
  const { createLearner, placements, metrics } = placeJob(['a1', 'a2'], { isGang: true })
  const learner = createLearner()
  for (const member of placements) learner.notePace(member, pace)
  t.is(metrics.counterValue('speed_observations_total'), 1)
  t.true(placements.every((member) => !learner.isWanted(member)))
})

test('the pace of a run whose job is unknown is ignored', (t) => {
  const { createLearner, run, metrics } = placeJob(['a1'])
  const learner = createLearner()
  const unknown = { ...run, jobId: 'other' }
  t.false(learner.isWanted(unknown))
  learner.notePace(unknown, pace)
  t.is(metrics.counterValue('speed_observations_total'), 0)
})

// Callers may declare none; a line for each run would fill the log.
test('a run of which no run time is declared is not measured, and not reported as a fault', (t) => {
  const { createLearner, run, metrics, findEvents } = placeJob(['a1'], { expectedRunTimeMs: 0 })
  const learner = createLearner()
  t.false(learner.isWanted(run))
  learner.notePace(run, pace)
  t.is(metrics.counterValue('speed_observations_total'), 0)
  t.is(metrics.counterValue('records_left_out_pace_total'), 0)
  t.is(findEvents('record.left-out').length, 0)
  t.is(learner.get('a1', 0).mean, 1)
})

test('progress that cannot be is counted each time, and logged once a minute for each upstream', async (t) => {
  const { createLearner, run, metrics, findEvents, clock } = placeJob(['a1'])
  const learner = createLearner()
  for (let reading = 0; reading < 100; reading += 1) learner.noteInvalidProgress(run, 101)
  t.is(metrics.counterValue('records_left_out_pace_total'), 100)
  t.is(findEvents('record.left-out').length, 1)
  await clock.advance(60_000)
  learner.noteInvalidProgress(run, 101)
  t.is(findEvents('record.left-out').length, 2)
})

test('a new leader starts from what the state holds', (t) => {
  const { state, createLearner } = placeJob(['a1'])
  const speeds = [{ upstreamId: 'a2', mean: 0.6, logSpread: 0.1 }]
  state.apply({ type: 'note-speeds', speeds })
  const learner = createLearner()
  t.true(learner.get('a2', 0).isKnown)
  t.true(Math.abs(learner.get('a2', 0).mean - 0.6) < 0.05)
  t.false(learner.get('a1', 0).isKnown)
})

test('what is held of an ended job and of a forgotten upstream is dropped', (t) => {
  const { state, createLearner, run } = placeJob(['a1'])
  const learner = createLearner()
  learner.notePace(run, pace)
  learner.clean()
  t.is(learner.speeds.jobCount, 1)
  t.is(learner.speeds.upstreamCount, 1)
  state.apply({ type: 'end-runs', ends: [{ ...run, outcome: 'done' }] })
  state.apply({ type: 'forget-upstreams', upstreamIds: ['a1'] })
  learner.clean()
  t.is(learner.speeds.jobCount, 0)
  t.is(learner.speeds.upstreamCount, 0)
})
