import { NettlespurError } from '@nettlespur/core.errors'
import test from 'ava'
import {
  cancel,
  createGangFixture,
  allLeasesExpiredMs,
  readState,
  startGang,
  timings,
} from './createGangFixture.js'

test('a gang whose members have all finished gives their answers in rank order', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  t.deepEqual(gangs.client.started, [first, second])
  gangs.client.finish(second, 'two')
  await gangs.clock.advance(allLeasesExpiredMs)
  t.is(readState(gangs, job)?.state, 'running')
  gangs.client.finish(first, 'one')
  gangs.taskReports.next({ taskId: first, fence: 1, state: 'finished' })
  await gangs.clock.advance(1)
  t.is(readState(gangs, job)?.state, 'finished')
  const parts = gangs.holder.state.getAnswer('demo', job.jobId)?.parts
  t.deepEqual(
    parts?.map((part) => part.body),
    ['one', 'two'],
  )
})

test('one refused reservation starts nothing, and the job goes back to the queue', async (t) => {
  const gangs = await createGangFixture()
  gangs.client.refusing.add('a1')
  const { job, first } = await startGang(gangs, { repeatable: false })
  t.deepEqual(gangs.client.started, [])
  t.is(gangs.client.getState(first), 'never-runs')
  t.like(readState(gangs, job), { state: 'queued', placement: undefined })
  t.regex(readState(gangs, job)?.reason ?? '', /u1 did not reserve/)
})

test('a reservation whose answer is lost keeps its accelerators until its lease must have expired', async (t) => {
  const gangs = await createGangFixture()
  gangs.client.mute.add('a1')
  const { job } = await startGang(gangs, {})
  await gangs.clock.advance(timings.taskLeaseMs)
  t.like(readState(gangs, job), { state: 'reserving' })
  await gangs.clock.advance(timings.clockDriftMarginMs + 300)
  t.is(readState(gangs, job)?.state, 'queued')
  t.deepEqual(gangs.client.started, [])
  t.deepEqual(gangs.client.listHolding(), [])
})

test('the loss of a member stops all others, and a repeatable job is queued again', async (t) => {
  const gangs = await createGangFixture()
  const { job, first } = await startGang(gangs, { repeatable: true })
  gangs.client.restartUpstream('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(gangs.client.getState(first), 'stopped')
  t.like(readState(gangs, job), { state: 'queued', attempts: 1, placement: undefined })
})

test('accelerators of an unreachable upstream are free only after the lease and the drift margin', async (t) => {
  const gangs = await createGangFixture()
  const { job, first } = await startGang(gangs, { repeatable: true })
  gangs.client.unreachable.add('a1')
  await gangs.clock.advance(timings.taskLeaseMs)
  t.is(gangs.client.getState(first), 'stopped')
  t.truthy(readState(gangs, job)?.placement)
  await gangs.clock.advance(timings.clockDriftMarginMs + 300)
  t.like(readState(gangs, job), { state: 'queued', placement: undefined })
})

test('a job that is not repeatable and loses a member after its start ends unknown', async (t) => {
  const gangs = await createGangFixture()
  const { job } = await startGang(gangs, { repeatable: false })
  gangs.client.restartUpstream('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'unknown')
  t.is(gangs.client.started.length, 2)
})

test('a job that is not repeatable goes back to the queue if no start can have been sent', async (t) => {
  const gangs = await createGangFixture()
  gangs.log.beforeCommit = ({ type }) => {
    if (type !== 'job.started') return
    gangs.client.unreachable.add('a0').add('a1')
  }
  const { job } = await startGang(gangs, { repeatable: false })
  await gangs.clock.advance(allLeasesExpiredMs)
  t.like(readState(gangs, job), { state: 'queued', startedAt: undefined })
  t.deepEqual(gangs.client.started, [])
})

test('a task that fails on its own ends a job that is not repeatable, with the reason of the failure', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  gangs.client.fail(second, 'out of memory')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'failed')
  t.regex(readState(gangs, job)?.reason ?? '', /u1: out of memory/)
  t.is(gangs.client.getState(first), 'stopped')
})

test('a new leader requeues a job whose start was not committed, and starts nothing', async (t) => {
  const gangs = await createGangFixture()
  gangs.log.beforeCommit = ({ type }) => {
    if (type === 'job.started') throw new NettlespurError('no-quorum', 'cut off')
  }
  const { job, manager, first } = await startGang(gangs, { repeatable: false })
  await manager.stop()
  t.is(gangs.client.getState(first), 'reserved')
  gangs.createManager().recover()
  await gangs.clock.advance(1)
  t.is(gangs.client.getState(first), 'never-runs')
  t.is(readState(gangs, job)?.state, 'queued')
  t.deepEqual(gangs.client.started, [])
})

test('the next leader takes over a running gang and does not start it again', async (t) => {
  const gangs = await createGangFixture()
  const { job, manager, first, second } = await startGang(gangs, { repeatable: false })
  await manager.stop()
  gangs.createManager().recover()
  await gangs.clock.advance(allLeasesExpiredMs)
  t.deepEqual(gangs.client.started, [first, second])
  for (const taskId of [first, second]) gangs.client.finish(taskId, 'whole')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'finished')
})

test('a job that is not repeatable is not run again if its tasks are lost while the leader changes', async (t) => {
  const gangs = await createGangFixture()
  const { job, manager } = await startGang(gangs, { repeatable: false })
  await manager.stop()
  gangs.client.restartUpstream('a0')
  gangs.client.restartUpstream('a1')
  gangs.createManager().recover()
  await gangs.clock.advance(allLeasesExpiredMs)
  t.is(readState(gangs, job)?.state, 'unknown')
  t.is(gangs.client.started.length, 2)
})

test('a start whose answer is lost is not repeated once the task runs', async (t) => {
  const gangs = await createGangFixture()
  gangs.log.beforeCommit = ({ type }) => {
    if (type === 'job.started') gangs.client.mute.add('a0')
  }
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  gangs.client.mute.clear()
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.deepEqual(gangs.client.started, [first, second])
  t.is(readState(gangs, job)?.state, 'running')
})

test('a cancelled gang ends only once all of its members are known to have stopped', async (t) => {
  const gangs = await createGangFixture()
  const { job, first } = await startGang(gangs, {})
  gangs.client.mute.add('a1')
  await cancel(gangs, job)
  await gangs.clock.advance(1000)
  t.is(gangs.client.getState(first), 'stopped')
  t.is(readState(gangs, job)?.state, 'stopping')
  gangs.client.mute.clear()
  await gangs.clock.advance(1000)
  t.like(readState(gangs, job), { state: 'cancelled' })
  t.regex(readState(gangs, job)?.reason ?? '', /cancelled after its start/)
})

test('a gang that had finished when its cancel arrived gives its answer', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  for (const taskId of [first, second]) gangs.client.finish(taskId, 'whole')
  await cancel(gangs, job)
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'finished')
})

test('a gang whose leader is gone stops when its leases expire', async (t) => {
  const gangs = await createGangFixture()
  const { manager } = await startGang(gangs, {})
  await manager.stop()
  await gangs.clock.advance(timings.taskLeaseMs)
  t.deepEqual(gangs.client.listHolding(), [])
})

test('a leader that is cut off from its quorum and from an upstream stops no other member', async (t) => {
  const gangs = await createGangFixture()
  const { manager, first } = await startGang(gangs, { repeatable: false })
  gangs.log.cutOff = true
  gangs.client.unreachable.add('a1')
  gangs.silentUpstreams.add('u1')
  await gangs.clock.advance(timings.renewTasksEveryMs * 3)
  t.is(gangs.client.getState(first), 'running')
  await manager.stop()
  gangs.log.cutOff = false
  gangs.client.unreachable.clear()
  gangs.createManager().recover()
  await gangs.clock.advance(allLeasesExpiredMs)
  t.is(gangs.client.getState(first), 'running')
})
