/**
 * The leader's calls through relays, with one failure each. Guards against a call that is reported as never sent although
 * an upstream has executed it, an order that is executed late or twice, and a relay that holds up its upstreams.
 */
import type { ManualClock } from '@nettlespur/core.clock'
import test from 'ava'
import { relayAddresses } from '../__utils__/index.js'
import {
  createStart,
  findUpstreamOf,
  pollOrder,
  startRelayedPort,
  watchCall,
} from '../__utils__/relayedPort.js'

const [relay, otherRelay] = relayAddresses
const timeoutMs = 500
const pollTimeoutMs = 2700

test('calls of upstreams that are assigned to a relay go through it, and the answers are those of the upstream', async (t) => {
  const { clock, port, upstreams, link } = await startRelayedPort()
  const to = findUpstreamOf(relay)
  const start = port.start(to, createStart(), timeoutMs)
  const stop = port.stop(to, { run: createStart().run, fence: 7 }, timeoutMs)
  const poll = port.hold(to, pollOrder, pollTimeoutMs)
  await clock.advance(2100)
  t.like(await start, { type: 'started' })
  t.deepEqual(await stop, { type: 'stopping', clockMs: undefined })
  const lists = { running: [], finished: [], unreadRows: 0 }
  t.deepEqual(await poll, { type: 'held', ...lists, clockMs: undefined })
  t.is(upstreams.startedAtMs.length, 1)
  t.deepEqual(link.orderedAddresses, [relay])
})

test('while two relays serve, the leader calls no upstream itself, and with one it carries a share', async (t) => {
  let relays: readonly string[] = relayAddresses
  const { clock, port } = await startRelayedPort({ listRelays: () => relays })
  t.deepEqual([...port.servingAddresses].sort(), [...relayAddresses].sort())
  relays = relayAddresses.slice(1)
  await clock.advance(500)
  t.is(port.servingAddresses.length, 2)
  t.false(port.servingAddresses.includes(relay))
})

test('below the number of upstreams no message is sent to relays, and a number around it does not switch relaying on and off', async (t) => {
  let upstreams = 99
  const opts = { relayFromUpstreams: 100, countUpstreams: () => upstreams }
  const { clock, port, link, log } = await startRelayedPort(opts)
  const call = watchCall(clock, port.start(findUpstreamOf(relay), createStart(), timeoutMs))
  await clock.advance(5000)
  t.is(call.result, 'started')
  t.is(link.messages, 0)
  for (const count of [100, 99, 100, 91, 100, 99]) {
    upstreams = count
    await clock.advance(1000)
  }
  t.is(log.findEvents('relaying.began').length, 1)
  t.is(log.findEvents('relaying.ended').length, 0)
  upstreams = 89
  await clock.advance(1000)
  t.is(log.findEvents('relaying.ended').length, 1)
  const before = link.messages
  await clock.advance(5000)
  t.is(link.messages, before)
  t.deepEqual(port.servingAddresses, [])
})

test('if a relay is killed, its starts in progress end as unknown, its polls are repeated, and its upstreams move to other members until it is back', async (t) => {
  const { clock, port, upstreams, link, metrics } = await startRelayedPort()
  const to = findUpstreamOf(relay)
  const poll = watchCall(clock, port.hold(to, pollOrder, pollTimeoutMs))
  await clock.advance(50)
  const inProgress = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(11)
  upstreams.startedAtMs.length = 0
  link.break(relay, 'killed')
  await clock.advance(700)
  t.is(inProgress.result, 'outcome-unknown')
  t.is(poll.result, undefined)
  t.is(upstreams.holds, 2)
  t.false(port.servingAddresses.includes(relay))
  t.is(metrics.counterValue('relay_calls_given_up_total'), 2)
  await clock.advance(2000)
  t.is(poll.result, 'held')
  const started = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(50)
  t.is(started.result, 'started')
  t.is(upstreams.startedAtMs.length, 1)
  link.mend(relay)
  await clock.advance(500)
  t.true(port.servingAddresses.includes(relay))
  link.orderedAddresses.length = 0
  const again = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(50)
  t.is(again.result, 'started')
  t.deepEqual(link.orderedAddresses, [relay])
})

test('an order to a relay at whose address nobody listens counts as never sent', async (t) => {
  const { clock, port, upstreams, link } = await startRelayedPort()
  link.break(relay, 'killed')
  const started = watchCall(clock, port.start(findUpstreamOf(relay), createStart(), timeoutMs))
  await clock.advance(100)
  t.is(started.result, 'unreachable')
  t.deepEqual(upstreams.startedAtMs, [])
})

test('a relay that was frozen does not send the orders that it reads afterwards, though they were given up as unknown', async (t) => {
  const { clock, port, upstreams, link, log } = await startRelayedPort()
  const to = findUpstreamOf(relay)
  link.break(relay, 'frozen')
  const started = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(600)
  t.is(started.result, 'outcome-unknown')
  await clock.advance(400)
  t.like(log.findEvents('relay.taken-out'), [{ address: relay }])
  t.false(port.servingAddresses.includes(relay))
  const second = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(50)
  t.is(second.result, 'started')
  await clock.advance(20_000)
  link.mend(relay)
  await clock.advance(5000)
  t.is(upstreams.startedAtMs.length, 1)
  t.true(port.servingAddresses.includes(relay))
})

test('a relay that falls silent while it holds polls is given up after 700 ms, not after the wait of the polls, which are then repeated', async (t) => {
  const { clock, port, link, log, upstreams } = await startRelayedPort()
  const polls = [findUpstreamOf(relay), findUpstreamOf(otherRelay)].map((to) =>
    watchCall(clock, port.hold(to, pollOrder, pollTimeoutMs)),
  )
  await clock.advance(200)
  const silentAtMs = clock.monotonicMs()
  link.break(relay, 'cut')
  await waitUntil(clock, () => log.findEvents('relay.taken-out').length > 0)
  const gaveUpAfterMs = clock.monotonicMs() - silentAtMs
  t.true(gaveUpAfterMs >= 400 && gaveUpAfterMs <= 1000, `after ${gaveUpAfterMs} ms`)
  await clock.advance(50)
  t.is(upstreams.holds, 3)
  await clock.advance(2500)
  t.deepEqual(
    polls.map(({ result }) => result),
    ['held', 'held'],
  )
})

/** Advances the clock until the condition holds, for 3 s at most. */
async function waitUntil(clock: ManualClock, isMet: () => boolean): Promise<void> {
  for (let waitedMs = 0; waitedMs < 3000 && !isMet(); waitedMs += 10) await clock.advance(10)
}

test('a relay that is cut off gets no orders, and the upstreams of the others stay where they are', async (t) => {
  const { clock, port, link, upstreams } = await startRelayedPort()
  link.break(relay, 'cut')
  await clock.advance(1500)
  link.orderedAddresses.length = 0
  const calls = [findUpstreamOf(relay), findUpstreamOf(otherRelay)].map((to) =>
    watchCall(clock, port.start(to, createStart(), timeoutMs)),
  )
  await clock.advance(100)
  t.deepEqual(
    calls.map(({ result }) => result),
    ['started', 'started'],
  )
  t.false(link.orderedAddresses.includes(relay))
  t.true(link.orderedAddresses.includes(otherRelay))
  t.is(upstreams.startedAtMs.length, 2)
})

test('if an upstream moves while a start is in doubt, the start is reported as unknown and the next one goes to the new member', async (t) => {
  const { clock, port, link, upstreams } = await startRelayedPort()
  const to = findUpstreamOf(relay)
  const first = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(13)
  t.is(upstreams.startedAtMs.length, 1, 'the upstream has executed the order')
  link.break(relay, 'cut')
  await clock.advance(1000)
  t.is(first.result, 'outcome-unknown')
  link.orderedAddresses.length = 0
  const second = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(100)
  t.is(second.result, 'started')
  t.false(link.orderedAddresses.includes(relay))
  link.mend(relay)
  await clock.advance(3000)
  t.is(upstreams.startedAtMs.length, 2, 'no order is repeated by itself')
})

test('orders of an earlier term are refused unsent by a relay that knows a later one', async (t) => {
  const { clock, port: former, open, upstreams } = await startRelayedPort({ term: 1 })
  const to = findUpstreamOf(relay)
  const before = watchCall(clock, former.start(to, createStart(1), timeoutMs))
  await clock.advance(100)
  const later = open(2)
  const late = watchCall(clock, former.start(to, createStart(1), timeoutMs))
  await clock.advance(100)
  const accepted = watchCall(clock, later.start(to, createStart(2), timeoutMs))
  await clock.advance(100)
  t.deepEqual([before.result, accepted.result], ['started', 'started'])
  t.true(late.result === 'unreachable' || late.result === 'outcome-unknown', late.result)
  t.deepEqual(upstreams.fences, [1, 2])
  t.false(former.servingAddresses.includes(relay))
})

test('a batch that is delivered twice is executed once, and its calls are not reported as refused', async (t) => {
  const { clock, port, link, upstreams } = await startRelayedPort()
  link.break(relay, 'duplicating')
  const call = watchCall(clock, port.start(findUpstreamOf(relay), createStart(), timeoutMs))
  await clock.advance(2000)
  t.is(call.result, 'started')
  t.is(upstreams.startedAtMs.length, 1)
})

test('if batches to a relay are lost although it answers otherwise, calls end as unknown at their own deadline', async (t) => {
  const { clock, port, link } = await startRelayedPort()
  link.break(relay, 'deaf')
  const begunAtMs = clock.monotonicMs()
  const call = watchCall(clock, port.start(findUpstreamOf(relay), createStart(), timeoutMs))
  await clock.advance(1000)
  t.is(call.result, 'outcome-unknown')
  t.is(call.settledAtMs, begunAtMs + timeoutMs)
})

test('a member that leaves the group gets no more calls, and those in progress still have their outcomes', async (t) => {
  let relays: readonly string[] = relayAddresses
  const { clock, port, link } = await startRelayedPort({ listRelays: () => relays })
  const to = findUpstreamOf(relay)
  const poll = watchCall(clock, port.hold(to, pollOrder, pollTimeoutMs))
  await clock.advance(100)
  relays = [otherRelay]
  await clock.advance(300)
  t.false(port.servingAddresses.includes(relay))
  link.orderedAddresses.length = 0
  const start = watchCall(clock, port.start(to, createStart(), timeoutMs))
  await clock.advance(2000)
  t.deepEqual([poll.result, start.result], ['held', 'started'])
  t.false(link.orderedAddresses.includes(relay))
})

test('a port whose leadership has ended sends nothing more to relays, and reports queued orders as never sent', async (t) => {
  const { clock, port, link, upstreams } = await startRelayedPort()
  const to = findUpstreamOf(relay)
  const poll = watchCall(clock, port.hold(to, pollOrder, pollTimeoutMs))
  await clock.advance(50)
  const queued = watchCall(clock, port.start(to, createStart(), timeoutMs))
  port.close()
  await clock.advance(300)
  const { messages } = link
  await clock.advance(5000)
  t.is(queued.result, 'unreachable')
  t.is(poll.result, 'outcome-unknown')
  t.is(link.messages, messages)
  t.deepEqual(upstreams.startedAtMs, [])
})
