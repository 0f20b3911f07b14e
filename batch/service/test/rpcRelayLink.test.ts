/** Guards against messages between members that get lost or change on real connections, and against relays that carry no calls. */
import { Relay, RelayedUpstreamPort, type RelayLink } from '@nettlespur/batch.relays'
import { SystemClock } from '@nettlespur/core.clock'
import { toNettlespurError } from '@nettlespur/core.errors'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { createRpcServer } from '@nettlespur/rpc.peer'
import test, { type ExecutionContext } from 'ava'
import { createBatchRouter, RpcRelayLink, type RelayReceiver } from '../src/index.js'
import { createLocalApi, peerKey, silentLogger } from '../__utils__/index.js'
import { createStart, findUpstreamOf, pollOrder, RecordingPort } from '../__utils__/relayedPort.js'

const ownAddress = '127.0.0.1:1'
const clock = new SystemClock()

async function startMember(t: ExecutionContext, receiver?: RelayReceiver): Promise<string> {
  const api = createLocalApi(() => Promise.resolve(null))
  const locator = { locateLeader: () => ({ term: 1, memberAddresses: [] }) }
  const router = createBatchRouter(api, locator, receiver)
  const server = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [peerKey] })
  t.teardown(() => {
    server.destroy()
    return server.drain()
  })
  return server.address
}

function openPort(t: ExecutionContext, member: string, link: RelayLink) {
  const port = new RelayedUpstreamPort({
    clock,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    port: new RecordingPort(clock),
    link,
    ownAddress,
    relayFromUpstreams: 1,
    leadership: {
      term: 1,
      countUpstreams: () => 1,
      listMemberAddresses: () => [ownAddress, member],
    },
  })
  t.teardown(() => {
    port.close()
  })
  return port
}

function createLink(t: ExecutionContext): RpcRelayLink {
  const link = new RpcRelayLink({ clock, peerKey, timeoutMs: 700, compresses: false })
  t.teardown(() => {
    link.close()
  })
  return link
}

test('orders reach the upstream through another member, and its answers come back', async (t) => {
  const upstreams = new RecordingPort(clock)
  const relay = new Relay({ clock, metrics: new MetricsRegistry(), port: upstreams })
  const member = await startMember(t, {
    handleOrders: (batch) => relay.handleOrders(batch, 1),
    takeAnswers: (request) => relay.takeAnswers(request, 1),
  })
  const port = openPort(t, member, createLink(t))
  while (port.servingAddresses.length < 2) await clock.sleep(10)
  const to = findUpstreamOf(member, [ownAddress, member])
  const poll = port.hold(to, { ...pollOrder, waitMs: 100 }, 1000)
  t.like(await port.start(to, createStart(), 500), { type: 'started' })
  t.like(await poll, { type: 'held', unreadRows: 0 })
  t.is(upstreams.startedAtMs.length, 1)
  t.is(upstreams.holds, 1)
})

test('a member that carries no calls, or of an earlier version, is never assigned upstreams', async (t) => {
  const member = await startMember(t)
  const link = createLink(t)
  const port = openPort(t, member, link)
  await clock.sleep(600)
  t.deepEqual(port.servingAddresses, [ownAddress])
  const header = { term: 1, relayId: '', servingAddresses: [] }
  const refusal = await link
    .takeAnswers(member, { ...header, waitMs: 0, batchMs: 0 })
    .catch(toNettlespurError)
  t.like(refusal, { kind: 'unknown-route' })
})

test('orders to an address at which nobody listens count as never sent', async (t) => {
  const link = createLink(t)
  const batch = { term: 1, relayId: 'relay', servingAddresses: [], calls: [] }
  const refusal = await link.sendOrders('127.0.0.1:1', batch).catch(toNettlespurError)
  t.like(refusal, { kind: 'unreachable' })
})
