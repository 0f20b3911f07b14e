import test from 'ava'
import { createKey } from '@nettlespur/net.keys'
import { createAnnouncement, createContract } from '@nettlespur/entry.fakes'
import fc from 'fast-check'
import { goodJob, readJson, startService, type SendOptions, type Service } from './startService.js'

/** A valid call, of which each case changes one part. */
interface Call {
  readonly method: string
  readonly path: string
  readonly key: string
  readonly headers: Record<string, string>
  readonly body: Record<string, unknown>
}

function createCalls({ keys }: Service): Call[] {
  const revision = { 'if-match': '1', 'idempotency-key': 'change-1' }
  const announce = '/v1/upstreams/u1/announce'
  return [
    { method: 'POST', path: '/v1/jobs', key: keys.caller, headers: {}, body: { ...goodJob } },
    {
      method: 'PUT',
      path: '/v1/contracts/thapa',
      key: keys.operator,
      headers: revision,
      body: createContract(),
    },
    {
      method: 'POST',
      path: announce,
      key: keys.upstream,
      headers: {},
      body: createAnnouncement(),
    },
  ]
}

type Sent = SendOptions & { method: string; path: string }
type Fault = (call: Call, seed: number) => { sent: Sent; status: number; kind: string }

function change(call: Call, other: Partial<Sent>): Sent {
  return { ...call, body: JSON.stringify(call.body), ...other }
}

const faults: Record<string, Fault> = {
  unknownField: (call, seed) => ({
    sent: change(call, { body: JSON.stringify({ ...call.body, [`field${seed}`]: seed }) }),
    status: 400,
    kind: 'unknown-field',
  }),
  wrongType: (call, seed) => {
    const names = Object.keys(call.body)
    const name = names[seed % names.length] ?? ''
    return {
      sent: change(call, { body: JSON.stringify({ ...call.body, [name]: { wrong: seed } }) }),
      status: 400,
      kind: name === 'gang' || name === 'limits' ? 'any' : 'invalid-field',
    }
  },
  malformedJson: (call, seed) => {
    const whole = JSON.stringify(call.body)
    return {
      sent: change(call, { body: whole.slice(0, 1 + (seed % (whole.length - 1))) }),
      status: 400,
      kind: 'malformed-json',
    }
  },
  oversized: (call, seed) => ({
    sent: change(call, { body: JSON.stringify({ ...call.body, pad: 'x'.repeat(4096 + seed) }) }),
    status: 413,
    kind: 'body-too-large',
  }),
  wrongKey: (call) => ({
    sent: change(call, { key: createKey() }),
    status: 401,
    kind: 'unauthorized',
  }),
  noKey: (call) => ({ sent: change(call, { key: undefined }), status: 401, kind: 'unauthorized' }),
}

test('each kind of invalid input is answered with its own 4xx and `ran: no`, and changes nothing', async (t) => {
  const service = await startService(t)
  const calls = createCalls(service)
  const chosen = fc.record({
    fault: fc.constantFrom(...Object.keys(faults)),
    call: fc.nat({ max: calls.length - 1 }),
    seed: fc.nat({ max: 500 }),
  })
  await fc.assert(
    fc.asyncProperty(chosen, async ({ fault, call, seed }) => {
      const made = faults[fault]
      const target = calls[call]
      if (made === undefined || target === undefined) return
      const { sent, status, kind } = made(target, seed)
      const answer = await service.send(sent.method, sent.path, sent)
      const body = readJson(answer)
      t.is(answer.status, status, JSON.stringify(body))
      if (kind !== 'any') t.is(body.kind, kind)
      t.is(body.ran, 'no')
    }),
    { numRuns: 200 },
  )
  t.is(service.control.changes, 0)
  for (const call of calls) {
    const answer = await service.send(call.method, call.path, change(call, {}))
    t.true(answer.status < 300, 'the same call without the fault is taken')
  }
})

test('a caller without a valid key cannot tell an unknown workspace from a wrong key', async (t) => {
  const { send, keys, control } = await startService(t)
  const job = (workspace: string, key: string) =>
    send('POST', '/v1/jobs', { key, body: JSON.stringify({ ...goodJob, workspace }) })
  const [unknown, wrong] = [await job('nobody', keys.caller), await job('thapa', createKey())]
  t.deepEqual([unknown.status, unknown.body.toString()], [401, wrong.body.toString()])
  const headers = { 'nettlespur-workspace': 'nobody' }
  const request = await send('POST', '/v1/requests', { key: keys.caller, headers, body: 'x' })
  t.deepEqual([request.status, request.body.toString()], [401, wrong.body.toString()])
  t.is(control.changes, 0)
})

test('a key of one role is rejected on the routes of the others', async (t) => {
  const { send, keys } = await startService(t)
  for (const path of ['/v1/contracts', '/v1/status', '/v1/report', '/v1/upstreams']) {
    t.is((await send('GET', path, { key: keys.caller })).status, 401, path)
    t.is((await send('GET', path, { key: keys.upstream })).status, 401, path)
    t.is((await send('GET', path, { key: keys.operator })).status, 200, path)
  }
  const body = JSON.stringify(createAnnouncement())
  const announced = await send('POST', '/v1/upstreams/u1/announce', { key: keys.operator, body })
  t.is(announced.status, 401)
})

test('the headers of a short request are validated before it is routed', async (t) => {
  const { send, keys, router } = await startService(t)
  const good = { 'nettlespur-workspace': 'thapa' }
  const bad: Record<string, string>[] = [
    {},
    { 'nettlespur-workspace': '../x' },
    { ...good, 'nettlespur-repeatable': 'yes' },
    { ...good, 'nettlespur-deadline-ms': '3s' },
    { ...good, 'nettlespur-deadline-ms': '99999999' },
    { ...good, 'idempotency-key': 'a b' },
  ]
  for (const headers of bad) {
    const answer = await send('POST', '/v1/requests', { key: keys.caller, headers, body: 'x' })
    t.is(answer.status, 400, JSON.stringify(headers))
    t.like(readJson(answer), { kind: 'invalid-field', ran: 'no' })
  }
  t.is(router.requests.length, 0)
})
