/** Guards against headroom that operators cannot see, and against a line for each change of it. */
import { HeadroomWatch } from '@nettlespur/batch.scheduler'
import { createConfig, createJob } from '@nettlespur/batch.samples'
import { BatchState } from '@nettlespur/batch.state'
import test from 'ava'
import { createRecorder } from '../__utils__/index.js'
import { HeadroomLog } from '../src/headroomLog.js'

const windowMs = 500

/** Submits urgent jobs of this many tasks in each window. */
function learn(state: BatchState, headroom: HeadroomWatch, taskCount: number, fromMs: number) {
  for (let at = 0; at < 40; at++) {
    headroom.noteJobs(state.unsettled, fromMs + at * windowMs)
    const request = createJob(`${fromMs}-${at}`, { taskCount })
    state.apply({ type: 'submit-job', request, workspace: 'w1', queueName: 'queue0' })
  }
}

test('headroom is logged with its inputs when it changes, at most every ten seconds', (t) => {
  const { logger, metrics, findEvents } = createRecorder()
  const state = new BatchState()
  state.apply({ type: 'apply-config', config: createConfig(1) })
  const headroom = HeadroomWatch.create({ guaranteedStartMsMax: 3000, stopMsMax: windowMs })
  t.truthy(headroom)
  if (headroom === undefined) return
  const log = new HeadroomLog({ logger, metrics, headroom, windowMs })
  log.noteRound([], 0)
  t.is(findEvents('headroom.wanted').length, 0)
  learn(state, headroom, 2, 0)
  log.noteRound([], 20_000)
  t.like(findEvents('headroom.wanted')[0], { taskCount: 2, acceleratorsPerTask: 1, windowMs })
  learn(state, headroom, 3, 20_000)
  log.noteRound([{ jobId: 'j', step: 0 }], 29_000)
  t.is(findEvents('headroom.wanted').length, 1)
  log.noteRound([], 30_000)
  t.like(findEvents('headroom.wanted')[1], { taskCount: 3 })
  t.regex(metrics.render(), /headroom_wanted_accelerators 3/)
  t.regex(metrics.render(), /units_held_back_total 1/)
})
