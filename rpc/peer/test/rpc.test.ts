import test from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError, toRpcResult } from '@nettlespur/core.errors'
import { createKey } from '@nettlespur/net.keys'
import { initTRPC } from '@trpc/server'
import { EitherAsync, Left, Right } from 'purify-ts'
import { z } from 'zod'
import { callPeer, createRpcClient, createRpcServer } from '../src/index.js'

const clock = new SystemClock()
const trpc = initTRPC.create()
const router = trpc.router({
  halve: trpc.procedure
    .input(z.number())
    .mutation(({ input }) => toRpcResult(EitherAsync.liftEither(halve(input)))),
})
type TestRouter = typeof router

function halve(value: number) {
  if (value % 2 === 0) return Right(value / 2)
  return Left(new NettlespurError('over-limit', 'odd', { retryAfterMs: 7 }))
}

test('a call returns the value of the procedure, or its error with all fields', async (t) => {
  const peerKey = createKey()
  const server = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [peerKey] })
  const client = createRpcClient<TestRouter>({
    clock,
    address: server.address,
    peerKey,
    timeoutMs: 5000,
  })
  t.is(
    await callPeer(() => client.call.halve.mutate(8))
      .run()
      .then((e) => e.extract()),
    4,
  )
  const refused = (await callPeer(() => client.call.halve.mutate(3)).run()).extract()
  t.like(refused, { kind: 'over-limit', message: 'odd', retryAfterMs: 7 })
  client.close()
  await server.drain()
})

test('a wrong peer key is refused with unauthorized, and a stopped peer is unreachable', async (t) => {
  const server = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [createKey()] })
  const opts = { clock, address: server.address, peerKey: createKey(), timeoutMs: 5000 }
  const client = createRpcClient<TestRouter>(opts)
  const refused = (await callPeer(() => client.call.halve.mutate(8)).run()).extract()
  t.like(refused, { kind: 'unauthorized' })
  client.close()
  await server.drain()
  const dead = createRpcClient<TestRouter>(opts)
  t.like((await callPeer(() => dead.call.halve.mutate(8)).run()).extract(), { kind: 'unreachable' })
  dead.close()
})
