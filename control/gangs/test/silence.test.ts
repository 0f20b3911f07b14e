/** What silence of upstreams may end for good: nothing that a later answer could contradict. */
import { createContract } from '@nettlespur/control.fakes'
import { unwrap } from '@nettlespur/core.errors'
import test from 'ava'
import {
  allLeasesExpiredMs,
  createGangFixture,
  placeGang,
  readState,
  startGang,
  timings,
  type GangFixture,
} from './createGangFixture.js'

/** More attempts than those after which a job that fails is given up. */
const manyAttempts = 12
const longestRetryMs = 120_000

async function forbidRetries({ log, clock }: GangFixture): Promise<void> {
  const contract = createContract('demo')
  const limits = { ...contract.limits, retriesPerSecond: 0 }
  const change = { changeId: 'none', expectedRevision: 1, contract: { ...contract, limits } }
  await unwrap(log.propose({ type: 'contract.apply', at: clock.now().toISOString(), change }))
}

/** Places the job again once it may be, as the placement loop would. */
async function startAgain(
  gangs: GangFixture,
  jobId: string,
  manager: ReturnType<GangFixture['createManager']>,
) {
  await gangs.clock.advance(longestRetryMs)
  const job = await placeGang(gangs, jobId)
  manager.start(job)
  await gangs.clock.advance(1)
  return job
}

// Guards against a job that is given up because its upstreams were cut off again and again, and ran on.
test('a repeatable job is not given up however often its upstreams are silent until its leases end', async (t) => {
  const gangs = await createGangFixture()
  const { job, manager } = await startGang(gangs, { repeatable: true })
  for (let attempt = 1; attempt <= manyAttempts; attempt++) {
    gangs.client.unreachable.add('a1')
    await gangs.clock.advance(allLeasesExpiredMs)
    t.like(readState(gangs, job), { state: 'queued', attempts: attempt })
    gangs.client.unreachable.delete('a1')
    await startAgain(gangs, job.jobId, manager)
  }
  t.is(readState(gangs, job)?.state, 'running')
})

// Guards against a job that crashes its upstreams for ever because nothing counts.
test('a repeatable job is given up after eight attempts that its upstreams report as lost', async (t) => {
  const gangs = await createGangFixture()
  const { job, manager } = await startGang(gangs, { repeatable: true })
  for (let attempt = 1; attempt < 8; attempt++) {
    gangs.client.restartUpstream('a1')
    await gangs.clock.advance(timings.renewTasksEveryMs)
    t.like(readState(gangs, job), { state: 'queued', attempts: attempt })
    await startAgain(gangs, job.jobId, manager)
  }
  gangs.client.restartUpstream('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'failed')
})

// Guards against a crash that is taken for a silence because the upstream answers only once the gang is being stopped.
test('an upstream that was silent and answers the stop without a record of the task counts as lost', async (t) => {
  const gangs = await createGangFixture()
  const { job } = await startGang(gangs, { repeatable: true })
  gangs.client.unreachable.add('a1')
  gangs.silentUpstreams.add('u1')
  await gangs.clock.advance(timings.renewTasksEveryMs + 2000)
  t.is(readState(gangs, job)?.state, 'running')
  gangs.client.restartUpstream('a1')
  gangs.client.unreachable.delete('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.like(readState(gangs, job), { state: 'queued', failedAttempts: 1 })
})

// Guards against a job that is ended for good because its upstream was silent for seconds, well before its lease was over.
test('a job that is not repeatable outlives a silence that is shorter than its leases', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  gangs.client.unreachable.add('a1')
  gangs.silentUpstreams.add('u1')
  gangs.upstreamChanges.next('u1')
  await gangs.clock.advance(timings.taskLeaseMs - timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'running')
  gangs.client.unreachable.delete('a1')
  gangs.silentUpstreams.delete('u1')
  gangs.upstreamChanges.next('u1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  gangs.client.finish(first, 'one')
  gangs.client.finish(second, 'two')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'finished')
})

// Guards against a gang that has finished and is ended as unknown, or run again, because one answer came late.
for (const repeatable of [false, true]) {
  const kind = repeatable ? 'repeatable' : 'not repeatable'
  test(`a gang that had finished behind a cut gives its answer if it answers the stop, ${kind}`, async (t) => {
    const gangs = await createGangFixture()
    const { job, first, second } = await startGang(gangs, { repeatable })
    gangs.client.unreachable.add('a1')
    gangs.client.finish(first, 'one')
    gangs.client.finish(second, 'two')
    await gangs.clock.advance(timings.taskLeaseMs + timings.clockDriftMarginMs / 2)
    t.truthy(readState(gangs, job)?.placement)
    gangs.client.unreachable.delete('a1')
    await gangs.clock.advance(timings.renewTasksEveryMs)
    t.is(readState(gangs, job)?.state, 'finished')
  })
}

// Guards against a claim that a job has failed where nothing is known of its end.
test('a repeatable job without retries ends unknown after a silence, and failed after a failure', async (t) => {
  const gangs = await createGangFixture()
  await forbidRetries(gangs)
  const { job: silent, manager } = await startGang(gangs, { repeatable: true })
  const { job: failed, second } = await startGang(gangs, { repeatable: true }, manager, 1)
  gangs.client.fail(second, 'out of memory')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  gangs.client.unreachable.add('a1')
  await gangs.clock.advance(allLeasesExpiredMs)
  t.is(readState(gangs, failed)?.state, 'failed')
  t.is(readState(gangs, silent)?.state, 'unknown')
})

// Guards against a job that is known to have finished and ends as unknown since its answer could not be fetched for seconds.
test('a job that is not repeatable and has finished gives its answer after a cut of several leases', async (t) => {
  const gangs = await createGangFixture()
  const { job, first, second } = await startGang(gangs, { repeatable: false })
  gangs.client.finish(first, 'one')
  gangs.client.finish(second, 'two')
  const getAnswer = gangs.client.getAnswer.bind(gangs.client)
  gangs.client.getAnswer = (task) => {
    gangs.client.unreachable.add('a1')
    return getAnswer(task)
  }
  await gangs.clock.advance(timings.renewTasksEveryMs)
  await gangs.clock.advance(4 * timings.taskLeaseMs)
  t.is(readState(gangs, job)?.state, 'running')
  gangs.client.getAnswer = getAnswer
  gangs.client.unreachable.delete('a1')
  await gangs.clock.advance(timings.renewTasksEveryMs)
  t.is(readState(gangs, job)?.state, 'finished')
})

// Guards against a job that crashes its upstreams as it starts and is never given up, as each crash looks like a silence.
test('an upstream that crashes at the start and answers the stop as another process counts as lost', async (t) => {
  const gangs = await createGangFixture()
  const { client, silentUpstreams, clock } = gangs
  const start = client.start.bind(client)
  client.start = (task) => {
    if (task.address !== 'a1') return start(task)
    client.restartUpstream('a1')
    client.mute.add('a1')
    silentUpstreams.add('u1')
    return start(task)
  }
  const { job } = await startGang(gangs, { repeatable: true })
  client.unreachable.add('a1')
  await clock.advance(timings.renewTasksEveryMs + 2000)
  t.is(readState(gangs, job)?.state, 'running')
  client.mute.delete('a1')
  client.unreachable.delete('a1')
  await clock.advance(timings.renewTasksEveryMs)
  t.like(readState(gangs, job), { state: 'queued', failedAttempts: 1 })
})

// Guards against a crash that is seen where there was none: the start was lost on its way.
test('an upstream that never got the start and answers the stop counts as silent', async (t) => {
  const gangs = await createGangFixture()
  const { client, silentUpstreams, clock } = gangs
  const start = client.start.bind(client)
  client.start = (task) => {
    if (task.address !== 'a1') return start(task)
    silentUpstreams.add('u1')
    client.unreachable.add('a1')
    return start(task)
  }
  const { job } = await startGang(gangs, { repeatable: true })
  await clock.advance(timings.renewTasksEveryMs + 2000)
  client.unreachable.delete('a1')
  await clock.advance(timings.renewTasksEveryMs)
  t.like(readState(gangs, job), { state: 'queued', failedAttempts: 0 })
})
