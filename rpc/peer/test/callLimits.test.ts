/** Calls with limits of their own, and what they do to the connection that they share with others. */
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

test('a connection that carries only answers to earlier calls is replaced, and they still arrive', async (t) => {
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

test('a slow call has its answer after further calls went over a new connection', async (t) => {
  const { clock, proxy, release, ask, wait } = await startTrial(t)
  const { answer: slow } = await wait({ silentAfterMs })
  await clock.advance(silentAfterMs)
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 2)
  release.next('whole')
  t.is((await slow).extract(), 'whole')
})

test('a connection that answered a later call is kept', async (t) => {
  const { clock, proxy, release, ask, wait } = await startTrial(t)
  const { answer: slow } = await wait({ silentAfterMs })
  t.is((await ask()).extract(), 'asked')
  await clock.advance(silentAfterMs)
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 1)
  release.next('whole')
  t.is((await slow).extract(), 'whole')
})

test('a call may have a deadline of its own, longer than that of its client', async (t) => {
  const { clock, release, wait } = await startTrial(t)
  const { answer } = await wait({ timeoutMs: 3 * timeoutMs })
  await clock.advance(2 * timeoutMs)
  release.next('late')
  t.is((await answer).extract(), 'late')
})

test('a call whose answer is wanted no more ends at once, and its connection goes on', async (t) => {
  const { proxy, ask, wait } = await startTrial(t)
  const unwanted = new AbortController()
  const { answer } = await wait({ unwanted: unwanted.signal })
  unwanted.abort()
  t.like((await answer).extract(), { kind: 'outcome-unknown' })
  t.is((await ask()).extract(), 'asked')
  t.is(proxy.openedCount, 1)
})
