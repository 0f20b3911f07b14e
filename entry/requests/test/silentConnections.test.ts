import test, { type ExecutionContext } from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { createUpstream, RecordingLogger } from '@nettlespur/entry.fakes'
import { startStandInUpstream } from '@nettlespur/upstream.standIn'
import { HttpTaskTransport } from '../src/index.js'
import { createRequest, createRouter, readText } from './createRouter.js'
import { Forwarder } from './forwarder.js'

const clock = new SystemClock()

/** Starts a router over `count` stand-in upstreams, each behind a forwarder. */
async function start(t: ExecutionContext, count: number, connectionProvenMs = 400) {
  const transport = new HttpTaskTransport({
    clock,
    connectionsPerUpstream: 8,
    connectionProvenMs,
    answerBytesMax: 1_000_000,
  })
  const standIns = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      startStandInUpstream({
        clock,
        logger: new RecordingLogger(),
        ...createUpstream({ upstreamId: `u${index}` }),
        listenAddress: '127.0.0.1:0',
        entries: [],
      }),
    ),
  )
  const forwarders = await Promise.all(standIns.map(({ address }) => Forwarder.start(address)))
  const upstreams = forwarders.map(({ address }, index) =>
    createUpstream({ upstreamId: `u${index}`, address }),
  )
  const { router, view } = createRouter({ clock, transport, upstreams })
  t.teardown(async () => {
    view.lease.end()
    transport.close()
    for (const forwarder of forwarders) forwarder.stop()
    await Promise.all(standIns.map((standIn) => standIn.stop()))
  })
  const send = (body: string, deadlineMs = 30_000) => {
    const deadlineAtMs = clock.monotonicMs() + deadlineMs
    return router.run(createRequest(clock, { body: Buffer.from(body), deadlineAtMs })).run()
  }
  const countStarts = () =>
    standIns
      .flatMap((standIn) => standIn.listRuns())
      .reduce((sum, run) => sum + run.startedCount, 0)
  return { send, countStarts, standIns, forwarders }
}

test('a request lost on a silent connection is known not to have run, and runs elsewhere once', async (t) => {
  const { send, countStarts, forwarders } = await start(t, 2)
  t.true((await send('first')).isRight())
  t.true((await send('second')).isRight())
  forwarders[0]?.silence('both')
  const answer = (await send('third')).unsafeCoerce()
  t.is(readText(answer), 'third')
  t.is(answer.attempt, 2)
  t.is(answer.upstreamId, 'u1')
  t.is(countStarts(), 3)
})

test('with no other upstream, a request that never arrived is refused as not run', async (t) => {
  const { send, countStarts, forwarders } = await start(t, 1)
  t.true((await send('first')).isRight())
  forwarders[0]?.silence('both')
  t.like((await send('second')).extract(), { answer: { ran: 'no' } })
  t.is(countStarts(), 1)
})

test('if the upstream may have forgotten tasks, the outcome of a request that it does not know is unknown', async (t) => {
  const { send, countStarts, standIns, forwarders } = await start(t, 1)
  const [standIn] = standIns
  standIn?.faults.set({ stall: ['run'] })
  const unanswered = (await send('first', 1000)).extract()
  t.like(unanswered, { kind: 'outcome-unknown' })
  t.is(countStarts(), 0)
  forwarders[0]?.silence('both')
})

test('a delayed request that arrives after it was reported as not run does not run', async (t) => {
  const { send, countStarts, forwarders } = await start(t, 1)
  t.true((await send('first')).isRight())
  forwarders[0]?.holdForth()
  t.like((await send('second')).extract(), { answer: { ran: 'no' } })
  await forwarders[0]?.releaseForth()
  t.is(countStarts(), 1)
})

test('an answer lost on a silent connection is collected on a new one; the old connections carry no more requests', async (t) => {
  // The state is polled after half of the timeout, while the other connection is not stale yet.
  const { send, countStarts, forwarders, standIns } = await start(t, 1, 5000)
  const [standIn] = standIns
  if (standIn === undefined) return
  const both = await Promise.all([send('{"runTimeMs":50}'), send('{"runTimeMs":50}')])
  t.true(both.every((result) => result.isRight()))
  t.is(standIn.countOpenedConnections(), 2)
  forwarders[0]?.silence('back')
  const lost = (await send('whole', 2000)).unsafeCoerce()
  t.is(readText(lost), 'whole')
  const before = standIn.countOpenedConnections()
  const next = (await send('next')).unsafeCoerce()
  t.is(readText(next), 'next')
  t.is(standIn.countOpenedConnections(), before + 1)
  t.is(countStarts(), 4)
})

test('a long request is polled and its answer awaited', async (t) => {
  const { send, countStarts } = await start(t, 1)
  const answer = (await send('{"runTimeMs":1500,"answer":"late"}')).unsafeCoerce()
  t.is(readText(answer), 'late')
  t.is(answer.attempt, 1)
  t.is(countStarts(), 1)
})

test('an answer that the upstream holds back is collected by a later poll', async (t) => {
  const { send, countStarts, standIns } = await start(t, 1)
  const [standIn] = standIns
  standIn?.faults.set({ loseAnswers: ['run'] })
  const held = send('kept')
  await new Promise<void>((resolve) => {
    standIn?.faults.heldCalls.subscribe((count) => {
      if (count > 0) resolve()
    })
  })
  standIn?.faults.set({})
  t.is(readText((await held).unsafeCoerce()), 'kept')
  t.is(countStarts(), 1)
})
