import test from 'ava'
import { createReservation, createTrial, tell } from './createTrial.js'

test('a task is reserved, started and answered whole, each call idempotent', async (t) => {
  const { clock, standIn, client, refer } = await createTrial(t)
  const task = refer('t1', 5)
  t.is(await tell(client.getTask(standIn.address, 't1')), 'unknown')
  t.is(await tell(client.reserve(standIn.address, 't1', createReservation())), 'reserved')
  t.is(await tell(client.reserve(standIn.address, 't1', createReservation())), 'reserved')
  t.is(await tell(client.start(task)), 'running')
  t.is(await tell(client.start(task)), 'running')
  t.is(await tell(client.getAnswer(task).map(() => ({ state: 'whole' }))), 'outcome-unknown')
  await clock.advance(500)
  t.is(await tell(client.start(task)), 'finished')
  t.is(await tell(client.reserve(standIn.address, 't1', createReservation())), 'finished')
  const { payload } = createReservation()
  const expected = { taskId: 't1', rank: 0, gangSize: 1, payload }
  for (let time = 0; time < 2; time++) {
    const answer = (await client.getAnswer(task).run()).unsafeCoerce()
    t.deepEqual(JSON.parse(answer.toString()), expected)
  }
  t.like(standIn.listRuns(), [{ taskId: 't1', jobId: 'j1', startedCount: 1, endState: 'finished' }])
})

test('a reservation that does not fit beside the live ones is refused', async (t) => {
  const { standIn, client, refer } = await createTrial(t)
  const reserve = (taskId: string, changes: Parameters<typeof createReservation>[0]) =>
    tell(client.reserve(standIn.address, taskId, createReservation({ jobId: taskId, ...changes })))
  t.is(await reserve('t1', {}), 'reserved')
  const misfits = [
    { acceleratorIndexes: [1, 2] },
    { acceleratorIndexes: [8] },
    { acceleratorIndexes: [3, 3] },
    { acceleratorIndexes: [2], cpuCores: 29 },
    { acceleratorIndexes: [2], memoryBytes: 901 },
  ]
  for (const misfit of misfits) t.is(await reserve('t2', misfit), 'upstream-refused')
  t.is(await reserve('t3', { acceleratorIndexes: [2] }), 'reserved')
  await client.stop(refer('t1', 5), { jobId: 't1', graceMs: 0 }).run()
  t.is(await reserve('t2', { acceleratorIndexes: [1] }), 'reserved')
})

test('a fence below the highest one seen for the job is refused', async (t) => {
  const { standIn, client, refer } = await createTrial(t)
  const low = createReservation({ fence: 4, acceleratorIndexes: [4] })
  t.is(await tell(client.reserve(standIn.address, 't1', createReservation())), 'reserved')
  t.is(await tell(client.reserve(standIn.address, 't2', low)), 'fence-too-low')
  t.is(await tell(client.start(refer('t1', 4))), 'fence-too-low')
  t.is(await tell(client.stop(refer('t1', 4), { jobId: 'j1', graceMs: 0 })), 'fence-too-low')
  t.is(await tell(client.start(refer('t1', 6))), 'upstream-refused')
  t.is(await tell(client.start(refer('t1', 5))), 'fence-too-low')
  t.is(standIn.listRuns()[0]?.startedCount, 0)
})

test('a stop of a task never seen forbids its start and any other of its job up to that fence', async (t) => {
  const { standIn, client, refer } = await createTrial(t)
  const stop = { jobId: 'j1', graceMs: 0 }
  t.is(await tell(client.stop(refer('t1', 5), stop)), 'never-runs')
  t.is(await tell(client.getTask(standIn.address, 't1')), 'never-runs')
  t.is(await tell(client.reserve(standIn.address, 't1', createReservation())), 'upstream-refused')
  t.is(await tell(client.reserve(standIn.address, 't2', createReservation())), 'upstream-refused')
  t.is(await tell(client.start(refer('t1', 5))), 'upstream-refused')
  const next = createReservation({ fence: 6 })
  t.is(await tell(client.reserve(standIn.address, 't3', next)), 'reserved')
})

test('a stop of one member forbids the start of another reserved under the same fence', async (t) => {
  const { standIn, client, refer } = await createTrial(t)
  const second = createReservation({ acceleratorIndexes: [4] })
  await client.reserve(standIn.address, 't1', createReservation()).run()
  await client.reserve(standIn.address, 't2', second).run()
  t.is(await tell(client.stop(refer('t1', 5), { jobId: 'j1', graceMs: 0 })), 'never-runs')
  t.is(await tell(client.start(refer('t2', 5))), 'upstream-refused')
  t.is(await tell(client.getTask(standIn.address, 't2')), 'never-runs')
})

test('a lease that is not renewed ends its task; a renewed one holds', async (t) => {
  const { clock, standIn, client, refer } = await createTrial(t)
  const long = JSON.stringify({ runTimeMs: 60_000 })
  const held = createReservation({ jobId: 'j1', leaseMs: 100, payload: long })
  const lost = createReservation({ jobId: 'j2', leaseMs: 100, acceleratorIndexes: [4] })
  await client.reserve(standIn.address, 't1', held).run()
  await client.reserve(standIn.address, 't2', lost).run()
  await client.start(refer('t1', 5)).run()
  await clock.advance(99)
  const leases = [
    { taskId: 't1', fence: 5, leaseMs: 100 },
    { taskId: 't2', fence: 4, leaseMs: 100 },
    { taskId: 't9', fence: 1, leaseMs: 100 },
  ]
  const renewed = (await client.renew(standIn.address, { leases }).run()).unsafeCoerce()
  t.deepEqual(
    renewed.map(({ state }) => state),
    ['running', 'reserved', 'unknown'],
  )
  await clock.advance(99)
  t.is(await tell(client.getTask(standIn.address, 't1')), 'running')
  t.is(await tell(client.getTask(standIn.address, 't2')), 'lease-expired')
  t.is(await tell(client.start(refer('t2', 5))), 'upstream-refused')
  await clock.advance(1)
  t.is(await tell(client.getTask(standIn.address, 't1')), 'lease-expired')
  t.is(await tell(client.start(refer('t1', 5))), 'lease-expired')
})

test('a checkpoint holds the work done, and a task resumed from it does only the rest', async (t) => {
  const { clock, standIn, client, refer } = await createTrial(t)
  const task = refer('t1', 5)
  await client.reserve(standIn.address, 't1', createReservation()).run()
  t.is(await tell(client.checkpoint(task)), 'upstream-refused')
  await client.start(task).run()
  await clock.advance(300)
  const { checkpointId } = (await client.checkpoint(task).run()).unsafeCoerce()
  await client.stop(task, { jobId: 'j1', graceMs: 0 }).run()
  t.truthy(checkpointId)
  const resumed = { ...createReservation({ fence: 6 }), ...(checkpointId && { checkpointId }) }
  await client.reserve(standIn.address, 't2', resumed).run()
  await client.start(refer('t2', 6)).run()
  await clock.advance(199)
  t.is(await tell(client.getTask(standIn.address, 't2')), 'running')
  await clock.advance(1)
  t.is(await tell(client.getTask(standIn.address, 't2')), 'finished')
})

test('a throttled task takes longer, and one that ignores its stop ends by force', async (t) => {
  const { clock, standIn, client, refer } = await createTrial(t)
  const task = refer('t1', 5)
  const payload = JSON.stringify({ runTimeMs: 500, ignoreStop: true })
  await client.reserve(standIn.address, 't1', createReservation({ payload })).run()
  await client.start(task).run()
  t.is(await tell(client.throttle(task, 0.5)), 'running')
  await clock.advance(999)
  t.is(await tell(client.stop(task, { jobId: 'j1', graceMs: 0 })), 'running')
  await clock.advance(0)
  t.is(await tell(client.getTask(standIn.address, 't1')), 'stopped')
})

// Guards against a crash that a leader takes for a silence: only the session tells it that another process answers.
test('the answers to a reservation, a start, a renewal and a stop name the process that gives them', async (t) => {
  const { standIn, client, refer } = await createTrial(t)
  const task = refer('t1', 5)
  const lease = { taskId: 't1', fence: 5, leaseMs: 1000 }
  const answers = [
    await client.reserve(standIn.address, 't1', createReservation()).run(),
    await client.start(task).run(),
    (await client.renew(standIn.address, { leases: [lease] }).run()).map(([status]) => status),
    await client.stop(task, { jobId: 'j1', graceMs: 0 }).run(),
  ]
  const sessions = answers.map((answer) => answer.unsafeCoerce()?.session)
  t.is(sessions.length, 4)
  t.truthy(sessions[0])
  t.is(new Set(sessions).size, 1)
})
