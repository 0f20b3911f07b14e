import type { Announcement } from '@nettlespur/api.schemas'
import type { WatchRequest } from '@nettlespur/control.api'
import { createJobRequest } from '@nettlespur/control.fakes'
import { NettlespurError, unwrap } from '@nettlespur/core.errors'
import test from 'ava'
import { EitherAsync, Left } from 'purify-ts'
import {
  announcement,
  createContractChange,
  runUntil,
  startNode,
  submit,
  timings,
} from './startNode.js'

const watchRequest: WatchRequest = {
  entry: { entryId: 'e1', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', dataCentre: 'dc1' },
  epoch: '',
  contractIndex: 0,
  upstreamVersion: 0,
  waitMs: 2000,
  leaving: false,
}

test('a job is placed, started and answered in full, and its placement is logged once', async (t) => {
  const node = await startNode(t)
  await unwrap(node.node.applyContract(createContractChange('one', 0)))
  await unwrap(node.node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  const jobId = await submit(node, { gang: { accelerators: 4, adjacency: 'upstream' } })
  const taskId = `${jobId}.1.0`
  await runUntil(node, () => node.client.getState(taskId) === 'running')
  node.client.finish(taskId, 'the answer')
  await runUntil(node, () => node.holder.state.getLiveJob(jobId) === undefined)
  const outcome = await unwrap(node.node.awaitAnswer({ workspace: 'demo', jobId, waitMs: 1000 }))
  t.is(outcome.job.state, 'finished')
  t.deepEqual(outcome.answer?.parts, [{ taskId, upstreamId: 'u1', body: 'the answer' }])
  t.is(node.lines.filter((line) => line.includes('event=placement.decided')).length, 1)
  const report = await unwrap(node.node.getReport())
  t.is(report.cluster.completion.count, 1)
  t.is(report.cluster.freeAccelerators, 8)
})

test('a watching entry learns of a change at once, and its next watch confirms it', async (t) => {
  const { node, clock } = await startNode(t)
  const first = await unwrap(node.watch(watchRequest))
  const { epoch, contractIndex, upstreamVersion } = first
  const held = { ...watchRequest, epoch, contractIndex, upstreamVersion }
  const pendingWatch = unwrap(node.watch(held))
  const { changeIndex } = await unwrap(node.applyContract(createContractChange('one', 0)))
  const update = await pendingWatch
  t.is(clock.monotonicMs(), 0)
  t.is(update.contractIndex, changeIndex)
  t.like((await unwrap(node.listContracts('demo')))[0], { inForceAt: [], notYetInForceAt: ['e1'] })
  const next = unwrap(node.watch({ ...held, contractIndex: changeIndex }))
  t.like((await unwrap(node.listContracts('demo')))[0], { inForceAt: ['e1'], notYetInForceAt: [] })
  await clock.advance(2000)
  t.deepEqual((await next).contracts, [])
})

test('a silent entry is dropped only after its lease must have expired', async (t) => {
  const { node, clock } = await startNode(t)
  await unwrap(node.watch(watchRequest))
  await unwrap(node.applyContract(createContractChange('one', 0)))
  await clock.advance(timings.contractLeaseMs)
  t.deepEqual((await unwrap(node.listContracts()))[0]?.notYetInForceAt, ['e1'])
  await clock.advance(timings.clockDriftMarginMs)
  t.deepEqual((await unwrap(node.listContracts()))[0]?.notYetInForceAt, [])
})

test('a new leader reports a change as not yet in force while entries may hold leases of a former one', async (t) => {
  const former = await startNode(t)
  await unwrap(former.node.applyContract(createContractChange('one', 0)))
  await former.stop()
  const { node, clock } = await startNode(t, former.dataFolder)
  t.deepEqual((await unwrap(node.listContracts()))[0]?.notYetInForceAt, ['entries-not-heard-yet'])
  await clock.advance(timings.contractLeaseMs + timings.clockDriftMarginMs)
  t.deepEqual((await unwrap(node.listContracts()))[0]?.notYetInForceAt, [])
})

test('entries learn of a leaving upstream at once; a late ready does not revert it, and it gets no job', async (t) => {
  const node = await startNode(t)
  await unwrap(node.node.applyContract(createContractChange('one', 0)))
  const announce = (state: Announcement['state']) =>
    unwrap(
      node.node.announce({
        items: [{ upstreamId: 'u1', announcement: { ...announcement, state } }],
      }),
    )
  await announce('ready')
  const { epoch, contractIndex, upstreamVersion } = await unwrap(node.node.watch(watchRequest))
  const pendingWatch = node.node.watch({ ...watchRequest, epoch, contractIndex, upstreamVersion })
  const pendingUpdate = unwrap(pendingWatch)
  await announce('leaving')
  t.like((await pendingUpdate).upstreams[0], { upstreamId: 'u1', state: 'leaving' })
  await announce('ready')
  const jobId = await submit(node, {})
  await runUntil(node, () => node.lines.some((line) => line.includes('event=placement.waits')))
  t.is(node.holder.state.getLiveJob(jobId)?.state, 'queued')
  const explanation = await unwrap(node.node.explainJob({ workspace: 'demo', jobId }))
  t.regex(explanation.waitsFor.join(), /no room for 1 accelerators/)
})

test('a silent upstream becomes suspect, then gone', async (t) => {
  const { node, clock } = await startNode(t)
  await unwrap(node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  const readState = async () => (await unwrap(node.getStatus())).upstreams[0]?.state
  t.is(await readState(), 'ready')
  await clock.advance(timings.upstreamSuspectMs + 250)
  t.is(await readState(), 'suspect')
  await clock.advance(timings.upstreamGoneMs)
  t.is(await readState(), 'gone')
})

test('a shape that the known upstreams can never hold is refused at once', async (t) => {
  const { node, clock } = await startNode(t)
  await unwrap(node.applyContract(createContractChange('one', 0)))
  await unwrap(node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  await clock.advance(timings.upstreamSuspectMs)
  const request = createJobRequest({ gang: { accelerators: 9, adjacency: 'upstream' } })
  const refused = (await node.submitJob(request).run()).extract()
  t.like(refused, { kind: 'impossible-shape' })
})

// Guards against a refusal that rests on old state: another leader may have stored the job under its key meanwhile.
test('a shape is not refused for a job with a key while it is not certain that the node still leads', async (t) => {
  const { node, clock, log } = await startNode(t)
  await unwrap(node.applyContract(createContractChange('one', 0)))
  await unwrap(node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  await clock.advance(timings.upstreamSuspectMs)
  const cutOff = new NettlespurError('no-quorum', 'no majority answers')
  log.readBarrier = () => EitherAsync.liftEither(Left(cutOff))
  const gang = { accelerators: 9, adjacency: 'upstream' as const }
  const refused = (await node.submitJob(createJobRequest({ gang, jobKey: 'key' })).run()).extract()
  t.like(refused, { kind: 'no-quorum' })
})

test('a call that waits for an answer returns the current job when its wait time is over', async (t) => {
  const node = await startNode(t)
  await unwrap(node.node.applyContract(createContractChange('one', 0)))
  const jobId = await submit(node, {})
  const waiting = unwrap(node.node.awaitAnswer({ workspace: 'demo', jobId, waitMs: 300 }))
  await node.clock.advance(300)
  t.is((await waiting).job.state, 'queued')
  t.is((await waiting).answer, undefined)
})

test('an instance that no longer leads refuses calls with a hint at the leader and renews no leases', async (t) => {
  const node = await startNode(t)
  await unwrap(node.node.applyContract(createContractChange('one', 0)))
  await unwrap(node.node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  const jobId = await submit(node, {})
  await runUntil(node, () => node.client.getState(`${jobId}.1.0`) === 'running')
  const waiting = unwrap(node.node.awaitAnswer({ workspace: 'demo', jobId, waitMs: 60_000 }))
  const leaderAddress = '127.0.0.1:4'
  node.log.leadership.next({ isLeader: false, leaderId: 'c2', leaderAddress, term: 2 })
  t.is((await waiting).job.state, 'running')
  const refused = (await node.node.getJob({ workspace: 'demo', jobId }).run()).extract()
  t.like(refused, { kind: 'not-leader', hint: `ask ${leaderAddress}` })
  await node.clock.advance(timings.taskLeaseMs + timings.renewTasksEveryMs)
  t.is(node.client.getState(`${jobId}.1.0`), 'lease-expired')
})
