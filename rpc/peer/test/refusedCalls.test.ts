/**
 * Guards against calls that a peer can never take and that were reported as possibly executed: their callers sent them
 * again and again. A message over the size limit also closed the connection, and failed all other calls on it.
 */
import { SystemClock } from '@nettlespur/core.clock'
import { toRpcResult, tryAsync } from '@nettlespur/core.errors'
import { createKey } from '@nettlespur/net.keys'
import { initTRPC } from '@trpc/server'
import test, { type ExecutionContext } from 'ava'
import { z } from 'zod'
import { callPeer, createRpcClient, createRpcServer, messageBytesMax } from '../src/index.js'

const timeoutMs = 5000
const peerKey = createKey()

async function startPeer(t: ExecutionContext) {
  const executed: string[] = []
  const { router, procedure } = initTRPC.create()
  const strict = router({
    store: procedure.input(z.strictObject({ text: z.string() })).mutation(({ input }) => {
      executed.push(input.text)
      return toRpcResult(tryAsync(() => Promise.resolve(input.text.length)))
    }),
  })
  const server = await createRpcServer({
    address: '127.0.0.1:0',
    router: strict,
    peerKeys: [peerKey],
  })
  const { address } = server
  const clock = new SystemClock()
  const client = createRpcClient<typeof strict>({ clock, address, peerKey, timeoutMs })
  t.teardown(async () => {
    client.close()
    server.destroy()
    await server.drain()
  })
  return {
    executed,
    store: (text: string) => callPeer(() => client.call.store.mutate({ text })),
    client,
  }
}

test('a call that the peer cannot read is reported as not run', async (t) => {
  const { executed, client } = await startPeer(t)
  const call = { text: 'a', fieldOfNewerVersion: 1 }
  const error = (await callPeer(() => client.call.store.mutate(call)).run()).swap().unsafeCoerce()
  t.is(error.kind, 'version-mismatch')
  t.is(error.answer.ran, 'no')
  t.deepEqual(executed, [])
})

test('a procedure that the peer does not have is reported as not run', async (t) => {
  const { client } = await startPeer(t)
  const newer = client as unknown as { call: { later: { mutate: () => Promise<never> } } }
  const error = (await callPeer(() => newer.call.later.mutate()).run()).swap().unsafeCoerce()
  t.is(error.kind, 'version-mismatch')
})

test('a call that is too large is refused at once, and other calls on the connection go on', async (t) => {
  const { executed, store } = await startPeer(t)
  const before = store('before').run()
  const tooLarge = store('x'.repeat(messageBytesMax)).run()
  const after = store('after').run()
  const error = (await tooLarge).swap().unsafeCoerce()
  t.is(error.kind, 'body-too-large')
  t.is(error.answer.ran, 'no')
  t.is((await before).extract(), 'before'.length)
  t.is((await after).extract(), 'after'.length)
  t.deepEqual(executed, ['before', 'after'])
})

test('calls made at the same time that fit into a message only one by one are all carried', async (t) => {
  const { store } = await startPeer(t)
  const length = Math.ceil(messageBytesMax * 0.6)
  const [first, second] = await Promise.all([
    store('x'.repeat(length)).run(),
    store('y'.repeat(length)).run(),
  ])
  t.deepEqual([first.extract(), second.extract()], [length, length])
})

test('a call just below the limit is carried', async (t) => {
  const { store } = await startPeer(t)
  const length = messageBytesMax - 2000
  t.is((await store('x'.repeat(length)).run()).extract(), length)
})
