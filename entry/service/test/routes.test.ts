import test from 'ava'
import type { JobView } from '@nettlespur/api.schemas'
import { ManualClock } from '@nettlespur/core.clock'
import { createContract } from '@nettlespur/entry.fakes'
import { goodJob, readJson, startService, type Service } from './startService.js'

const workspace = { 'nettlespur-workspace': 'thapa' }

async function submit({ send, keys }: Service): Promise<string> {
  const answer = await send('POST', '/v1/jobs', { key: keys.caller, body: JSON.stringify(goodJob) })
  return String(readJson(answer).jobId)
}

test('a job is accepted, its state is read, and a waiting caller gets its complete answer', async (t) => {
  const service = await startService(t)
  const { send, keys, control } = service
  const get = (path: string) => send('GET', path, { key: keys.caller, headers: workspace })
  const jobId = await submit(service)
  t.like(readJson(await get(`/v1/jobs/${jobId}`)), { jobId, state: 'queued' })
  t.is((await get(`/v1/jobs/${jobId}/answer`)).status, 202)
  t.is((await get(`/v1/jobs/${jobId}/explanation`)).status, 200)
  t.is((await get('/v1/jobs/other')).status, 404)
  const waiting = get(`/v1/jobs/${jobId}/answer?waitMs=20000`)
  const answer = { jobId, attempt: 1, parts: [{ taskId: 't1', upstreamId: 'u1', body: 'whole' }] }
  control.setJob(jobId, { state: 'finished' }, answer)
  const ended = await waiting
  t.is(ended.status, 200)
  t.deepEqual(readJson(ended), answer)
  t.deepEqual(readJson(await get(`/v1/jobs/${jobId}/answer`)), answer, 'it can be collected again')
})

test('the error for a job that ended without an answer says how it ended', async (t) => {
  const service = await startService(t)
  const { send, keys, control } = service
  const startedAt = new Date(0).toISOString()
  const ends: [Partial<JobView>, string, string][] = [
    [{ state: 'failed', startedAt }, 'job-failed', 'yes'],
    [{ state: 'cancelled' }, 'cancelled-before-start', 'no'],
    [{ state: 'cancelled', startedAt }, 'cancelled-after-start', 'yes'],
    [{ state: 'unknown', startedAt }, 'outcome-unknown', 'unknown'],
    [{ state: 'finished', startedAt }, 'answer-expired', 'yes'],
  ]
  for (const [change, kind, ran] of ends) {
    const jobId = await submit(service)
    control.setJob(jobId, change)
    const path = `/v1/jobs/${jobId}/answer`
    t.like(readJson(await send('GET', path, { key: keys.caller, headers: workspace })), {
      kind,
      ran,
    })
  }
})

test('a read that control does not answer is reported as unreachable', async (t) => {
  const clock = new ManualClock()
  const service = await startService(t, clock)
  const jobId = await submit(service)
  service.control.failure = 'outcome-unknown'
  service.control.contractLeaseMs = 60_000
  service.view.apply(service.control.createUpdate(), clock.monotonicMs())
  const opts = { key: service.keys.caller, headers: workspace }
  const progress = { settled: false }
  const asked = service.send('GET', `/v1/jobs/${jobId}`, opts).finally(() => {
    progress.settled = true
  })
  while (!progress.settled) await clock.advance(100)
  const answer = await asked
  t.is(answer.status, 503)
  t.like(readJson(answer), { kind: 'unreachable', ran: 'no' })
})

test('a contract change requires a revision and a change id, and the workspace of its path', async (t) => {
  const { send, keys, control } = await startService(t)
  const put = (headers: Record<string, string>, path = 'thapa') =>
    send('PUT', `/v1/contracts/${path}`, {
      key: keys.operator,
      headers,
      body: JSON.stringify(createContract({ weight: 2 })),
    })
  const whole = { 'if-match': '"1"', 'idempotency-key': 'c1' }
  const refused: [Record<string, string>, string, string][] = [
    [{ 'idempotency-key': 'c1' }, 'thapa', 'invalid-field'],
    [{ 'if-match': '1' }, 'thapa', 'invalid-field'],
    [{ ...whole, 'if-match': '*' }, 'thapa', 'invalid-field'],
    [whole, 'consorzio', 'invalid-field'],
    [{ ...whole, 'if-match': '7' }, 'thapa', 'stale-revision'],
  ]
  for (const [headers, path, kind] of refused) {
    t.like(readJson(await put(headers, path)), { kind, ran: 'no' })
  }
  t.is(control.changes, 0)
  t.like(readJson(await put(whole)), { revision: 2 })
})

test('waiting for a change ends once every live entry enforces it', async (t) => {
  const { send, keys, control } = await startService(t)
  control.notYetInForceAt = ['entry-2']
  const waiting = send('PUT', '/v1/contracts/thapa?wait=in-force', {
    key: keys.operator,
    headers: { 'if-match': '1', 'idempotency-key': 'c1' },
    body: JSON.stringify(createContract()),
  })
  let settled = false
  void waiting.then(() => (settled = true))
  await send('GET', '/v1/contracts/thapa', { key: keys.operator })
  t.false(settled)
  control.notYetInForceAt = []
  t.like(readJson(await waiting), { revision: 2, inForce: true, inForceAt: ['entry-1'] })
})

test('with an expired contract lease an entry refuses callers and is not ready, but serves operators', async (t) => {
  const { send, keys, view, control } = await startService(t)
  t.is((await send('GET', '/readyz')).status, 200)
  view.lease.end()
  const job = { key: keys.caller, body: JSON.stringify(goodJob) }
  const request = { key: keys.caller, headers: workspace, body: 'x' }
  const answers = [
    await send('POST', '/v1/jobs', job),
    await send('POST', '/v1/requests', request),
    await send('GET', '/readyz'),
  ]
  for (const answer of answers) {
    t.is(answer.status, 503)
    t.like(readJson(answer), { kind: 'contract-lease-expired', ran: 'no', retryAfterMs: 1000 })
    t.is(answer.headers['retry-after'], '1')
  }
  t.is((await send('GET', '/healthz')).status, 200)
  t.is((await send('GET', '/v1/contracts', { key: keys.operator })).status, 200)
  t.is(control.changes, 0)
})

test('a short request reaches the router unchanged, and the caller gets the complete answer', async (t) => {
  const { send, keys, router } = await startService(t)
  const headers = {
    ...workspace,
    'idempotency-key': 'span-7',
    'nettlespur-repeatable': 'true',
    'content-type': 'text/plain',
  }
  const answer = await send('POST', '/v1/requests', {
    key: keys.caller,
    headers,
    body: 'raw \u00e9',
  })
  t.is(answer.status, 201)
  t.is(answer.body.toString(), 'raw \u00e9')
  t.like(answer.headers, { 'content-type': 'text/plain', 'nettlespur-task-id': 'task-1' })
  t.like(router.requests[0], { workspace: 'thapa', key: 'span-7', repeatable: true })
})

test('while new work is refused, the entry is not ready but accepts announcements', async (t) => {
  const { send, keys, drain } = await startService(t)
  const job = () => send('POST', '/v1/jobs', { key: keys.caller, body: JSON.stringify(goodJob) })
  drain.phase.next('unready')
  t.is((await send('GET', '/readyz')).status, 503)
  t.is((await job()).status, 202)
  drain.phase.next('refusing')
  t.like(readJson(await job()), { kind: 'draining', ran: 'no' })
})
