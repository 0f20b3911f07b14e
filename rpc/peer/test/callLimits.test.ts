/** Per-call limits, and their effect on the connection shared with other calls. */
import test, { type ExecutionContext } from 'ava'
import { ManualClock } from '@nettlespur/core.clock'
import { createKey } from '@nettlespur/net.keys'
import { firstValueFrom } from 'rxjs'
import {
  callPeer,
  createRpcClient,
  createRpcServer,
  limitCall,
  type CallLimits,
} from '../src/index.js'
import { createHeldRouter, type HeldRouter } from './heldRouter.js'
import { SilentProxy } from './silentProxy.js'

const timeoutMs = 1000
const silentAfterMs = 300
const peerKey = createKey()

async function startTrial(t: ExecutionContext) {
  const clock = new ManualClock()
  const { release, waiting, router } = createHeldRouter()
  const server = await createRpcServer({
    address: '127.0.0.1:0',
    router,
    peerKeys: [peerKey],
  })
  const proxy = await SilentProxy.start(server.address)
  const { address } = proxy
  const client = createRpcClient<HeldRouter>({ clock, address, peerKey, timeoutMs })
  t.teardown(async () => {
    client.close()
    await proxy.close()
    server.destroy()
    await server.drain()
  })
  const ask = (limits: CallLimits = {}) =>
    callPeer(() => client.call.ask.mutate(undefined, limitCall(limits))).run()
  const wait = async (limits: CallLimits = {}) => {
    const taken = firstValueFrom(waiting)
    const answer = callPeer(() => client.call.wait.mutate(undefined, limitCall(limits))).run()
    await taken
    return { answer }
  }
  return { clock, proxy, release, ask, wait }
}

test('a connection that delivers answers but no new calls is replaced, and its earlier answers still arrive', async (t) => {
  const { clock, proxy, release, ask, wait } = await startTrial(t)
  const { answer: earlier } = await wait()
  proxy.silenceCalls()
  const lost = ask({ silentAfterMs })
  await clock.advance(silentAfterMs)
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 2)
  release.next('whole')
  t.is((await earlier).extract(), 'whole')
  await clock.advance(timeoutMs)
  t.like((await lost).extract(), { kind: 'outcome-unknown' })
})

test('a slow call gets its answer after later calls moved to a new connection', async (t) => {
  const { clock, proxy, release, ask, wait } = await startTrial(t)
  const { answer: slow } = await wait({ silentAfterMs })
  await clock.advance(silentAfterMs)
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 2)
  release.next('whole')
  t.is((await slow).extract(), 'whole')
})

test('a connection that has answered a later call is not replaced', async (t) => {
  const { clock, proxy, release, ask, wait } = await startTrial(t)
  const { answer: slow } = await wait({ silentAfterMs })
  t.is((await ask()).extract(), 'asked')
  await clock.advance(silentAfterMs)
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 1)
  release.next('whole')
  t.is((await slow).extract(), 'whole')
})

test('a call can have a longer deadline than its client', async (t) => {
  const { clock, release, wait } = await startTrial(t)
  const { answer } = await wait({ timeoutMs: 3 * timeoutMs })
  await clock.advance(2 * timeoutMs)
  release.next('late')
  t.is((await answer).extract(), 'late')
})

test('an aborted call fails at once, and its connection stays in use', async (t) => {
  const { proxy, ask, wait } = await startTrial(t)
  const unwanted = new AbortController()
  const { answer } = await wait({ unwanted: unwanted.signal })
  unwanted.abort()
  t.like((await answer).extract(), { kind: 'outcome-unknown' })
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 1)
})
