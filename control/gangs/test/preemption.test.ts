import test from 'ava'
import {
  cancel,
  createGangFixture,
  allLeasesExpiredMs,
  placeGang,
  preempt,
  readState,
  startGang,
  timings,
} from './createGangFixture.js'

test('all members of a preempted gang stop at once, and its job is queued again without a failed attempt', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: true })
  const preemptedAt = gangs.clock.now().toISOString()
  await preempt(gangs, job, false)
  await gangs.clock.advance(1)
  t.deepEqual(
    [first, second].map((id) => gangs.client.getState(id)),
    ['stopped', 'stopped'],
  )
  t.like(readState(gangs, job), { state: 'queued', failedAttempts: 0, placement: undefined })
  t.is(readState(gangs, job)?.retryAt, preemptedAt)
})

test('the next attempt of a checkpointed gang resumes from the checkpoints of all its members', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false, checkpointable: true })
  await preempt(gangs, job, true)
  await gangs.clock.advance(1)
  t.like(readState(gangs, job), { state: 'queued', checkpointId: `of-${first},of-${second}` })
  const again = await placeGang(gangs, job.jobId)
  gangs.createManager().start(again)
  await gangs.clock.advance(1)
  const taskId = again.placement?.members[1]?.taskId ?? ''
  t.is(gangs.client.reservations.get(taskId)?.checkpointId, `of-${first},of-${second}`)
})

test('a job that is not repeatable runs on if a member takes no checkpoint', async (t) => {
  const gangs = await createGangFixture()
  gangs.client.refusingCheckpoints.add('a1')
  const { job, first, second } = await startGang(gangs, { repeatable: false, checkpointable: true })
  await preempt(gangs, job, true)
  await gangs.clock.advance(allLeasesExpiredMs)
  t.deepEqual(
    [first, second].map((id) => gangs.client.getState(id)),
    ['running', 'running'],
  )
  t.like(readState(gangs, job), { state: 'running', preemption: undefined })
})

test('a job that is neither repeatable nor checkpointable is never preempted', async (t) => {
  const gangs = await createGangFixture()
  const { job, first } = await startGang(gangs, { repeatable: false })
  await preempt(gangs, job, false)
  await preempt(gangs, job, true)
  await gangs.clock.advance(allLeasesExpiredMs)
  t.is(gangs.client.getState(first), 'running')
  t.is(readState(gangs, job)?.state, 'running')
})

test('a preempted gang with a member that ignores its stop keeps its accelerators until the lease must have expired', async (t) => {
  const gangs = await createGangFixture()
  gangs.client.ignoringStops.add('a1')
  const { job, second } = await startGang(gangs, { repeatable: true })
  await preempt(gangs, job, false)
  await gangs.clock.advance(timings.taskLeaseMs - 1000)
  t.is(gangs.client.getState(second), 'running')
  t.truthy(readState(gangs, job)?.placement)
  await gangs.clock.advance(timings.clockDriftMarginMs + 1000 + 300)
  t.is(gangs.client.getState(second), 'lease-expired')
  t.is(readState(gangs, job)?.state, 'queued')
})

test('a new leader completes a preemption that the former one began', async (t) => {
  const gangs = await createGangFixture()
  const fields = { repeatable: false, checkpointable: true }
  const { job, manager, first, second } = await startGang(gangs, fields)
  await manager.stop()
  await preempt(gangs, job, true)
  gangs.createManager().recover()
  await gangs.clock.advance(1)
  t.is(gangs.client.getState(first), 'stopped')
  t.like(readState(gangs, job), { state: 'queued', checkpointId: `of-${first},of-${second}` })
})

test('a job that is cancelled during its preemption ends as cancelled and is not queued', async (t) => {
  const gangs = await createGangFixture()
  const { job, manager } = await startGang(gangs, { repeatable: true })
  await manager.stop()
  await preempt(gangs, job, false)
  await cancel(gangs, job)
  gangs.createManager().recover()
  await gangs.clock.advance(1)
  t.is(readState(gangs, job)?.state, 'cancelled')
})

test('a gang is stopped before its lease ends if an upstream is silent and calls to it fail', async (t) => {
  const gangs = await createGangFixture()
  const { first } = await startGang(gangs, { repeatable: true })
  gangs.client.unreachable.add('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(gangs.client.getState(first), 'running')
  gangs.silentUpstreams.add('u1')
  gangs.upstreamChanges.next('u1')
  await gangs.clock.advance(1000)
  t.is(gangs.client.getState(first), 'stopped')
})

test('many cancellations write a bounded number of log lines and one that counts the rest', async (t) => {
  const gangs = await createGangFixture()
  const manager = gangs.createManager()
  const started = []
  for (let index = 0; index < 30; index++) started.push(await startGang(gangs, {}, manager, index))
  for (const { job } of started) await cancel(gangs, job)
  await gangs.clock.advance(1)
  await gangs.clock.advance(1000)
  t.true(started.every(({ job }) => readState(gangs, job)?.state === 'cancelled'))
  t.is(gangs.lines.filter((line) => line.includes('event=gang.ended')).length, 20)
  t.is(gangs.lines.filter((line) => line.includes('gangs=10')).length, 1)
})
