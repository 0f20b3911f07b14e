import { createServer } from 'node:net'
import test from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { createHttpServer, type Route } from '@nettlespur/net.server'
import { EitherAsync, Left } from 'purify-ts'
import { z } from 'zod'
import { callHttp, callJson } from '../src/index.js'

const clock = new SystemClock()
const numberBody = z.strictObject({ durationMs: z.number() })
const echo: Route = {
  method: 'POST',
  path: '/v1/echo/:name',
  handle: (request) =>
    request
      .readJson(numberBody)
      .map((json) => ({ status: 200, json: { ...json, name: request.param('name') } })),
}
const fails: Route = {
  method: 'GET',
  path: '/v1/fails',
  handle: () => EitherAsync.liftEither(Left(new NettlespurError('over-limit', 'too many'))),
}

test('a JSON call resolves with the answer of the matching route', async (t) => {
  const server = await createHttpServer({ address: '127.0.0.1:0', routes: [echo] })
  const answer = await callJson({
    clock,
    address: server.address,
    method: 'POST',
    path: '/v1/echo/a%20b',
    json: { durationMs: 3 },
    timeoutMs: 5000,
    answer: z.object({ durationMs: z.number(), name: z.string() }),
  }).run()
  t.deepEqual(answer.extract(), { durationMs: 3, name: 'a b' })
  await server.drain()
})

test('each kind of bad request gets its own error kind and status', async (t) => {
  const server = await createHttpServer({
    address: '127.0.0.1:0',
    routes: [echo, fails],
    bodyBytesMax: 64,
  })
  const cases: [string, string, string | undefined, string, number][] = [
    ['POST', '/v1/echo/x', '{', 'malformed-json', 400],
    ['POST', '/v1/echo/x', '{"durationMs":1,"other":2}', 'unknown-field', 400],
    ['POST', '/v1/echo/x', '{"durationMs":"1s"}', 'invalid-field', 400],
    ['POST', '/v1/echo/x', 'x'.repeat(65), 'body-too-large', 413],
    ['GET', '/v1/echo/x', undefined, 'unknown-route', 404],
    ['GET', '/v1/fails', undefined, 'over-limit', 429],
  ]
  for (const [method, path, body, kind, status] of cases) {
    const sent = { clock, address: server.address, method, path, timeoutMs: 5000 }
    const answer = await callHttp(body === undefined ? sent : { ...sent, body }).run()
    const received = answer.unsafeCoerce()
    t.is(received.status, status)
    t.like(JSON.parse(received.body.toString()), { kind, ran: 'no' })
  }
  await server.drain()
})

test('a request with headers over the size limit is answered with 431', async (t) => {
  const server = await createHttpServer({
    address: '127.0.0.1:0',
    routes: [],
    headerBytesMax: 1024,
  })
  const headers = { filler: 'x'.repeat(4000) }
  const answer = await callHttp({
    clock,
    address: server.address,
    method: 'GET',
    path: '/',
    headers,
    timeoutMs: 5000,
  }).run()
  t.is(answer.unsafeCoerce().status, 431)
  await server.drain()
})

test('a refused connection is unreachable; one that closes after the request was sent is outcome-unknown', async (t) => {
  const closing = createServer((socket) => socket.once('data', () => socket.destroy()))
  await new Promise<void>((resolve) => closing.listen(0, '127.0.0.1', resolve))
  const { port } = closing.address() as { port: number }
  const call = { clock, address: `127.0.0.1:${port}`, method: 'GET', path: '/', timeoutMs: 5000 }
  const cut = await callHttp(call).run()
  t.is((cut.extract() as NettlespurError).kind, 'outcome-unknown')
  await new Promise((resolve) => closing.close(resolve))
  const refused = await callHttp(call).run()
  t.is((refused.extract() as NettlespurError).kind, 'unreachable')
})
