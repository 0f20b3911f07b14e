/**
 * Guards against reporting a timeout for an answer that arrived in time, but was read late because the event
 * loop of this process was blocked beyond the deadline.
 */
import { SystemClock } from '@nettlespur/core.clock'
import test from 'ava'
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { callHttp } from '../src/index.js'

const timeoutMs = 300
const answerMs = 100

/** Runs in a worker thread, so that it answers while the event loop of this thread is blocked. */
const server = `
  const http = require('node:http')
  const { parentPort } = require('node:worker_threads')
  const listening = http.createServer((request, response) => {
    parentPort.postMessage('called')
    setTimeout(() => response.end('answer'), ${answerMs})
  })
  listening.listen(0, '127.0.0.1', () => parentPort.postMessage(listening.address().port))
`

function blockEventLoop(durationMs: number): void {
  const untilMs = performance.now() + durationMs
  while (performance.now() < untilMs);
}

test('an answer that arrives in time is accepted even if the event loop is blocked until after the deadline', async (t) => {
  const worker = new Worker(server, { eval: true })
  t.teardown(() => worker.terminate())
  const [port] = (await once(worker, 'message')) as [number]
  const called = once(worker, 'message')
  const clock = new SystemClock()
  const call = callHttp({
    clock,
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    timeoutMs,
  }).run()
  await called
  blockEventLoop(timeoutMs + answerMs)
  const answer = await call
  t.is(answer.map(({ body }) => body.toString()).orDefault('none'), 'answer')
})
