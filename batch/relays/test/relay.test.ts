/** What a relay refuses to send. Each of these orders could otherwise start a run that the leader has placed elsewhere. */
import test from 'ava'
import { createRelay } from '../__utils__/createRelay.js'

test('an order within its time is sent, and its outcome is handed over once', async (t) => {
  const { clock, port, relay, createBatch } = createRelay()
  t.deepEqual(relay.handleOrders(createBatch(1), 0).refusedCallIds, [])
  t.is(port.starts, 1)
  const request = {
    term: 1,
    relayId: relay.relayId,
    servingAddresses: [],
    waitMs: 200,
    batchMs: 10,
  }
  const first = relay.takeAnswers(request, 0)
  await clock.base.advance(200)
  const outcome = { type: 'start', answer: { type: 'started', clockMs: undefined } }
  t.deepEqual((await first).outcomes, [{ callId: 1, outcome }] as never)
  const second = relay.takeAnswers(request, 0)
  await clock.base.advance(200)
  t.deepEqual((await second).outcomes, [])
})

test('an order whose time is over on the monotonic clock is not sent', async (t) => {
  const { clock, port, relay, createBatch } = createRelay()
  const batch = createBatch(1)
  await clock.base.advance(501)
  clock.wallStepMs = -10_000
  t.deepEqual(relay.handleOrders(batch, 0).refusedCallIds, [1])
  t.is(port.starts, 0)
})

test('an order is not sent by a relay that was suspended while its monotonic clock stood still', async (t) => {
  const { clock, port, relay, createBatch } = createRelay()
  const batch = createBatch(1)
  await clock.base.advance(20_000)
  clock.suspendedMs = 20_000
  t.deepEqual(relay.handleOrders(batch, 0).refusedCallIds, [1])
  t.is(port.starts, 0)
})

test('an order of an earlier term than the relay has seen, in a batch or otherwise, is not sent', (t) => {
  const { port, relay, createBatch } = createRelay()
  t.deepEqual(relay.handleOrders(createBatch(1, 1), 2).refusedCallIds, [1])
  t.deepEqual(relay.handleOrders(createBatch(2, 3), 2).refusedCallIds, [])
  const late = relay.handleOrders(createBatch(3, 2), 2)
  t.deepEqual(late.refusedCallIds, [3])
  t.false(late.acceptsTerm)
  t.is(port.starts, 1)
})

test('a batch that comes again is not executed again, and is not called refused even once its time is over', async (t) => {
  const { clock, port, relay, createBatch } = createRelay()
  const batch = createBatch(1)
  relay.handleOrders(batch, 0)
  t.deepEqual(relay.handleOrders(batch, 0).refusedCallIds, [])
  await clock.base.advance(5000)
  t.deepEqual(relay.handleOrders(batch, 0).refusedCallIds, [])
  t.is(port.starts, 1)
})

test('an order that was meant for an earlier process of the relay is not sent', (t) => {
  const { port, relay, createBatch } = createRelay()
  const receipt = relay.handleOrders({ ...createBatch(1), relayId: 'earlier process' }, 0)
  t.deepEqual(receipt.refusedCallIds, [1])
  t.not(receipt.relayId, 'earlier process')
  t.is(port.starts, 0)
})

test('outcomes of an earlier term are not handed to a later leader, whose calls have the same numbers', async (t) => {
  const { clock, relay, createBatch } = createRelay()
  relay.handleOrders(createBatch(1, 1), 0)
  await clock.base.advance(20)
  const request = {
    term: 2,
    relayId: relay.relayId,
    servingAddresses: [],
    waitMs: 200,
    batchMs: 10,
  }
  const taken = relay.takeAnswers(request, 0)
  await clock.base.advance(200)
  t.deepEqual((await taken).outcomes, [])
})

test('a relay names no serving members once it has not heard from the leader for a second', async (t) => {
  const { clock, relay, createBatch } = createRelay()
  t.deepEqual(relay.servingAddresses, [])
  relay.handleOrders(createBatch(1), 0)
  t.is(relay.servingAddresses.length, 2)
  await clock.base.advance(1001)
  t.deepEqual(relay.servingAddresses, [])
})
