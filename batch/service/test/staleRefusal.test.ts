/**
 * Guards against refusals that rest on the state of a member that leads no more: another leader may have stored the job
 * meanwhile, and 429 and 503 say that it never runs.
 */
import { tasksPerJobMax } from '@nettlespur/batch.model'
import { createConfig, createJob } from '@nettlespur/batch.samples'
import { BatchState, type Command } from '@nettlespur/batch.state'
import { ManualClock } from '@nettlespur/core.clock'
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import test from 'ava'
import { silentLogger } from '../__utils__/silentLogger.js'
import { LeaderApi } from '../src/leaderApi.js'

const request = createJob('j', { taskCount: tasksPerJobMax })
const call = { host: 'host', path: '/queue1/j', key: 'k1', request }
const submitted = { type: 'submit-job' as const, request, workspace: 'w1', queueName: 'queue1' }

/** An API over a state that lacks `missed` until a read is confirmed, as that of a member that was cut off. */
function createStaleApi(state: BatchState, missed: readonly Command[]) {
  let barriers = 0
  const api = new LeaderApi({
    clock: new ManualClock(),
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    dataCentres: [],
    getState: () => state,
    requireLeader: () => undefined as never,
    raft: {
      addMember: () => tryAsync(() => Promise.reject(new Error('not part of this test'))),
      propose: () => tryAsync(() => Promise.resolve(state.apply(submitted))),
      readBarrier: () =>
        tryAsync(() => {
          barriers += 1
          for (const command of missed) state.apply(command)
          return Promise.resolve()
        }),
    },
  })
  return { api, countBarriers: () => barriers }
}

/** Fills the state with jobs, so that no large one is admitted. */
function fill(state: BatchState): void {
  state.apply({ type: 'apply-config', config: createConfig(1) })
  for (let at = 0; at < 6; at++) {
    const large = createJob(`large${at}`, { taskCount: tasksPerJobMax })
    state.apply({ ...submitted, request: large })
  }
}

test('a job is not refused for want of room before it is known whether it is stored', async (t) => {
  const state = new BatchState()
  fill(state)
  const { api, countBarriers } = createStaleApi(state, [submitted])
  t.true((await api.submitJob(call).run()).isRight())
  t.is(countBarriers(), 1)
})

test('a job that is not stored is refused for want of room after one confirmed read', async (t) => {
  const state = new BatchState()
  fill(state)
  const { api, countBarriers } = createStaleApi(state, [])
  const error = (await api.submitJob(call).run()).swap().unsafeCoerce()
  t.true(error instanceof NettlespurError && error.kind === 'queue-full')
  t.is(countBarriers(), 1)
})

test('a job is not refused for want of a configuration before the newest state is known', async (t) => {
  const state = new BatchState()
  const { api } = createStaleApi(state, [{ type: 'apply-config', config: createConfig(1) }])
  t.true((await api.submitJob(call).run()).isRight())
})
