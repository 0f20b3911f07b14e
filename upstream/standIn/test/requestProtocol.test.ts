import test from 'ava'
import { taskHeaders } from '@nettlespur/api.schemas'
import { callHttp, type HttpAnswer } from '@nettlespur/net.client'
import { readWholeAnswer } from '@nettlespur/upstream.client'
import { createReservation, createTrial, tell, waitForStarts, type Trial } from './createTrial.js'

interface RunOptions {
  taskId: string
  fence?: number
  attempt?: number
  payload?: unknown
}

const slow = { runTimeMs: 500, answer: 'done' }

test('a short request gets its own bytes back whole, under its task, attempt and fence', async (t) => {
  const trial = await createTrial(t)
  const payload = Buffer.from([0, 255, 10, 13, 128])
  const answer = await run(trial, { taskId: 'r1', attempt: 2, payload })
  const expected = { taskId: 'r1', fence: 1, attempt: 2 }
  t.deepEqual(readWholeAnswer(answer, expected).extract(), payload)
  t.true(readWholeAnswer(answer, { ...expected, attempt: 1 }).isLeft())
  t.true(readWholeAnswer(answer, { ...expected, taskId: 'r2' }).isLeft())
  const again = await trial.client.getAnswer(trial.refer('r1', 1)).run()
  t.deepEqual(again.extract(), payload)
})

test('calls with one task id run it once, whether it is in progress or has ended', async (t) => {
  const trial = await createTrial(t)
  const first = run(trial, { taskId: 'r1', payload: slow })
  await waitForStarts(trial.standIn, 1)
  const second = run(trial, { taskId: 'r1', attempt: 2, payload: slow })
  await trial.clock.advance(500)
  t.deepEqual(await Promise.all([first, second].map(readText)), ['done', 'done'])
  t.is(await readText(run(trial, { taskId: 'r1', attempt: 3, payload: slow })), 'done')
  t.like(trial.standIn.listRuns(), [{ taskId: 'r1', startedCount: 1, endState: 'finished' }])
})

test('no more short requests run than there are slots, and a refused one leaves nothing', async (t) => {
  const trial = await createTrial(t, { slots: 1 })
  const first = run(trial, { taskId: 'r1', payload: slow })
  await waitForStarts(trial.standIn, 1)
  t.is(await readKind(run(trial, { taskId: 'r2', payload: slow })), 'upstream-refused')
  await trial.clock.advance(500)
  t.is(await readText(first), 'done')
  t.is(await readText(run(trial, { taskId: 'r2', payload: 'later' })), '"later"')
  t.deepEqual(
    trial.standIn.listRuns().map(({ startedCount }) => startedCount),
    [1, 1],
  )
})

test('a short request stopped before it came never runs; one stopped midway says that it ran', async (t) => {
  const trial = await createTrial(t)
  const { client, refer } = trial
  await client.stop(refer('r1', 1), { jobId: 'r1', graceMs: 0 }).run()
  t.is(await readKind(run(trial, { taskId: 'r1', fence: 9 })), 'upstream-refused')
  const midway = run(trial, { taskId: 'r2', payload: slow })
  await waitForStarts(trial.standIn, 1)
  t.is(await tell(client.stop(refer('r2', 1), { jobId: 'r2', graceMs: 0 })), 'stopped')
  t.is(await readKind(midway), 'cancelled-after-start')
  t.is(await readKind(run(trial, { taskId: 'r2', attempt: 2 })), 'cancelled-after-start')
  t.is(trial.standIn.listRuns().find(({ taskId }) => taskId === 'r1')?.startedCount, 0)
})

test('a short request ends with its lease, fails as told, and refuses a lower fence', async (t) => {
  const trial = await createTrial(t)
  const endless = run(trial, { taskId: 'r1', fence: 3, payload: { runTimeMs: 60_000 } })
  await waitForStarts(trial.standIn, 1)
  t.is(await readKind(run(trial, { taskId: 'r1', fence: 2 })), 'fence-too-low')
  await trial.clock.advance(1000)
  t.is(await readKind(endless), 'upstream-failed')
  t.is(await readKind(run(trial, { taskId: 'r2', payload: { fail: 'bad frame' } })), 'job-failed')
  const reserved = trial.client.reserve(trial.standIn.address, 'r2', createReservation())
  t.is(await tell(reserved), 'upstream-refused')
})

test('answers are kept for a set time and a bounded number, and never run again after', async (t) => {
  const trial = await createTrial(t, { keepAnswersMs: 100, answersMax: 2 })
  for (const taskId of ['r1', 'r2', 'r3']) await run(trial, { taskId, payload: { answer: taskId } })
  t.is(await readKind(run(trial, { taskId: 'r1' })), 'answer-expired')
  t.is(await readText(run(trial, { taskId: 'r2' })), 'r2')
  await trial.clock.advance(100)
  t.is(await readKind(run(trial, { taskId: 'r2' })), 'answer-expired')
  const collected = trial.client.getAnswer(trial.refer('r3', 1)).map(() => ({ state: 'whole' }))
  t.is(await tell(collected), 'answer-expired')
  t.true(trial.standIn.listRuns().every(({ startedCount }) => startedCount === 1))
})

test('a planned stop lets the short request in progress end and answers it whole', async (t) => {
  const trial = await createTrial(t)
  const answer = run(trial, { taskId: 'r1', payload: slow })
  await waitForStarts(trial.standIn, 1)
  const stopped = trial.standIn.stop()
  await trial.clock.advance(500)
  t.is(await readText(answer), 'done')
  t.is((await answer).headers.connection, 'close')
  await stopped
})

async function run(trial: Trial, opts: RunOptions): Promise<HttpAnswer> {
  const { payload = '' } = opts
  const headers = {
    [taskHeaders.fence]: String(opts.fence ?? 1),
    [taskHeaders.attempt]: String(opts.attempt ?? 1),
    [taskHeaders.workspace]: 'w1',
    [taskHeaders.leaseMs]: '1000',
  }
  const answer = await callHttp({
    clock: trial.clock,
    address: trial.standIn.address,
    method: 'POST',
    path: `/v1/tasks/${opts.taskId}/run`,
    headers,
    body: Buffer.isBuffer(payload) ? payload : JSON.stringify(payload),
    timeoutMs: 600_000,
  }).run()
  return answer.unsafeCoerce()
}

async function readText(answer: Promise<HttpAnswer>): Promise<string> {
  return (await answer).body.toString()
}

async function readKind(answer: Promise<HttpAnswer>): Promise<unknown> {
  return (JSON.parse(await readText(answer)) as { kind: unknown }).kind
}
