import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { createKey } from '@nettlespur/net.keys'
import { firstValueFrom } from 'rxjs'
import { callPeer, createRpcClient, createRpcServer } from '../src/index.js'
import { createHeldRouter, type HeldRouter } from './heldRouter.js'
import { SilentProxy } from './silentProxy.js'

const timeoutMs = 1000
const peerKey = createKey()

async function startTrial() {
  const clock = new ManualClock()
  const held = createHeldRouter()
  const server = await createRpcServer({
    address: '127.0.0.1:0',
    router: held.router,
    peerKeys: [peerKey],
  })
  const proxy = await SilentProxy.start(server.address)
  const client = createRpcClient<HeldRouter>({ clock, address: proxy.address, peerKey, timeoutMs })
  const ask = () => callPeer(() => client.call.ask.mutate()).run()
  const wait = () => callPeer(() => client.call.wait.mutate()).run()
  const close = async (): Promise<void> => {
    client.close()
    await proxy.close()
    server.destroy()
    await server.drain()
  }
  return { clock, ...held, server, proxy, ask, wait, close }
}

test('a silent connection is terminated at the deadline of a call, and the next call opens a new one', async (t) => {
  const trial = await startTrial()
  t.teardown(() => trial.close())
  t.is((await trial.ask()).extract(), 'asked')
  trial.proxy.silence()
  const lost = trial.ask()
  await Promise.resolve()
  await trial.clock.advance(timeoutMs)
  t.like((await lost).extract(), { kind: 'outcome-unknown' })
  t.is((await trial.ask()).extract(), 'asked')
  t.is(trial.proxy.openedCount, 2)
})

test('a call that reaches its deadline does not close a connection that still answers', async (t) => {
  const trial = await startTrial()
  t.teardown(() => trial.close())
  const taken = firstValueFrom(trial.waiting)
  const slow = trial.wait()
  await taken
  t.is((await trial.ask()).extract(), 'asked')
  await trial.clock.advance(timeoutMs)
  t.like((await slow).extract(), { kind: 'outcome-unknown' })
  t.is((await trial.ask()).extract(), 'asked')
  t.is(trial.proxy.openedCount, 1)
})

test('draining the server answers every call before the connection closes', async (t) => {
  const trial = await startTrial()
  t.teardown(() => trial.close())
  const taken = firstValueFrom(trial.waiting)
  const answer = trial.wait()
  await taken
  t.is(trial.server.inFlight(), 1)
  const drained = trial.server.drain()
  trial.release.next('whole')
  t.is((await answer).extract(), 'whole')
  await drained
  t.is(trial.server.inFlight(), 0)
})

test('a call in progress fails at once with outcome-unknown when the peer drops the connection', async (t) => {
  const trial = await startTrial()
  t.teardown(() => trial.close())
  const taken = firstValueFrom(trial.waiting)
  const lost = trial.wait()
  await taken
  trial.server.destroy()
  t.like((await lost).extract(), { kind: 'outcome-unknown' })
})

test('a call fails with unreachable when the peer never completes the WebSocket handshake', async (t) => {
  const sockets = new Set<Socket>()
  const mute = createServer((socket) => sockets.add(socket.on('error', () => socket.destroy())))
  mute.listen(0, '127.0.0.1')
  await once(mute, 'listening')
  const address = `127.0.0.1:${(mute.address() as AddressInfo).port}`
  const clock = new ManualClock()
  const client = createRpcClient<HeldRouter>({ clock, address, peerKey, timeoutMs })
  const connected = once(mute, 'connection')
  const lost = callPeer(() => client.call.ask.mutate()).run()
  await connected
  await clock.advance(timeoutMs)
  t.like((await lost).extract(), { kind: 'unreachable' })
  for (const socket of sockets) socket.destroy()
  mute.close()
})
