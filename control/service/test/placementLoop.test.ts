import { unwrap } from '@nettlespur/core.errors'
import {
  createPolicy,
  PlacementPolicy,
  type PlacementDecision,
  type PlacementView,
} from '@nettlespur/placement.engine'
import test, { type ExecutionContext } from 'ava'
import {
  announcement,
  createContractChange,
  runUntil,
  startNode,
  submit,
  timings,
  type TestNode,
} from './startNode.js'

/** Longer than an upstream may be silent before its leader forgets it. */
const forgottenAfterMs = 610_000
const gang = { accelerators: 8, adjacency: 'upstream' as const }

/** Returns decisions that a test adds, followed by those of the `completionTime` policy. */
class ScriptedPolicy extends PlacementPolicy {
  readonly #policy = createPolicy('completionTime')
  extra: (view: PlacementView) => PlacementDecision[] = () => []

  override decide(view: PlacementView): PlacementDecision[] {
    return [...this.extra(view), ...this.#policy.decide(view)]
  }
}

async function startScripted(t: ExecutionContext) {
  const policy = new ScriptedPolicy()
  const node = await startNode(t, undefined, policy)
  await unwrap(node.node.applyContract(createContractChange('one', 0)))
  await announce(node, 'u1', 'ready')
  return { node, policy }
}

async function announce({ node }: TestNode, upstreamId: string, state: 'ready' | 'leaving') {
  const { address } = announcement
  const own = upstreamId === 'u1' ? address : '127.0.0.1:8'
  const items = [{ upstreamId, announcement: { ...announcement, address: own, state } }]
  await unwrap(node.announce({ items }))
}

test('urgent work runs within a second of its submission if a running job can be preempted', async (t) => {
  const { node } = await startScripted(t)
  const victim = await submit(node, { gang, repeatable: true })
  await runUntil(node, () => node.client.getState(`${victim}.1.0`) === 'running')
  const submittedMs = node.clock.monotonicMs()
  const urgent = await submit(node, { gang, urgency: 'urgent' })
  await runUntil(node, () => node.client.getState(`${urgent}.1.0`) === 'running')
  t.true(node.clock.monotonicMs() - submittedMs < 1000)
  t.is(node.client.getState(`${victim}.1.0`), 'stopped')
  t.like(node.holder.state.getLiveJob(victim), { state: 'queued', failedAttempts: 0 })
  const lines = node.lines.filter((line) => line.includes('event=placement.preempted'))
  t.is(lines.length, 1)
})

test('a repeatable gang moves off a leaving upstream, and one that is not repeatable stays', async (t) => {
  const { node } = await startScripted(t)
  const half = { accelerators: 4, adjacency: 'upstream' as const }
  const moves = await submit(node, { gang: half, repeatable: true })
  const stays = await submit(node, { gang: half, repeatable: false })
  const isRunning = (taskId: string) => node.client.getState(taskId) === 'running'
  await runUntil(node, () => [moves, stays].every((id) => isRunning(`${id}.1.0`)))
  await announce(node, 'u2', 'ready')
  await announce(node, 'u1', 'leaving')
  await runUntil(node, () => isRunning(`${moves}.2.0`))
  t.is(node.client.getState(`${moves}.1.0`), 'stopped')
  t.true(isRunning(`${stays}.1.0`))
})

test('a job that placement refuses for a minute ends with the reason and without a start', async (t) => {
  const { node, policy } = await startScripted(t)
  const jobId = await submit(node, { gang: { accelerators: 64, adjacency: 'upstream' } })
  policy.extra = ({ waiting }) =>
    waiting.map((job) => ({
      kind: 'refuse',
      jobId: job.jobId,
      reason: 'no upstream is that large',
    }))
  for (let seconds = 0; seconds < 55; seconds++) {
    await announce(node, 'u1', 'ready')
    await node.clock.advance(1000)
  }
  t.is(node.holder.state.getLiveJob(jobId)?.state, 'queued')
  await node.clock.advance(10_000)
  await runUntil(node, () => node.holder.state.getLiveJob(jobId) === undefined)
  const ended = node.holder.state.getJob('demo', jobId)
  t.like(ended, { state: 'cancelled', reason: 'no upstream is that large' })
  t.is(ended?.startedAt, undefined)
})

// Guards against a job that is ended for good because the upstreams that can hold it have been silent for minutes.
test('a job waits for as long as the only upstream that can hold it is silent, and runs once that is back', async (t) => {
  const { node } = await startScripted(t)
  await node.clock.advance(timings.upstreamSuspectMs)
  const jobId = await submit(node, { gang, repeatable: true })
  const small = { ...announcement, address: '127.0.0.1:8', accelerators: 4 }
  await node.clock.advance(forgottenAfterMs)
  for (let seconds = 0; seconds < 70; seconds++) {
    await unwrap(node.node.announce({ items: [{ upstreamId: 'u2', announcement: small }] }))
    await node.clock.advance(1000)
  }
  t.is(node.holder.state.getJob('demo', jobId)?.state, 'queued')
  t.regex(
    (await unwrap(node.node.getJob({ workspace: 'demo', jobId }))).reason,
    /no set of the known upstreams can hold/,
  )
  await announce(node, 'u1', 'ready')
  await runUntil(node, () => node.client.getState(`${jobId}.1.0`) === 'running')
})

test('an explanation names the requested shape, the holders of the accelerators and the jobs ahead', async (t) => {
  const { node } = await startScripted(t)
  const holder = await submit(node, { gang, repeatable: true })
  await runUntil(node, () => node.client.getState(`${holder}.1.0`) === 'running')
  const ahead = await submit(node, { gang })
  const jobId = await submit(node, { gang })
  await runUntil(node, () => node.lines.some((line) => line.includes(`jobId=${jobId} reason=`)))
  const { waitsFor } = await unwrap(node.node.explainJob({ workspace: 'demo', jobId }))
  const text = waitsFor.join('\n')
  t.regex(text, /asks for 8 accelerators on one upstream.*queued since 2026/)
  t.regex(text, new RegExp(`on u1 0 accelerators are free; ${holder} holds 8`))
  t.regex(text, new RegExp(`1 jobs were submitted before it and wait too.*${ahead}`))
})

test('a round in which many jobs wait writes a bounded number of log lines', async (t) => {
  const { node } = await startScripted(t)
  await submit(node, { gang })
  await Promise.all([...Array(60).keys()].map(() => submit(node, { gang })))
  await runUntil(node, () => node.lines.some((line) => line.includes('event=placement.more-wait')))
  const waits = node.lines.filter((line) => line.includes('event=placement.waits'))
  t.true(waits.length < 60)
})

test('missing accelerators are an error in the log only once upstreams have had the time to announce themselves', async (t) => {
  const node = await startNode(t)
  const hasAlarm = (): boolean => node.lines.some((line) => line.includes('plan.infeasible'))
  const change = createContractChange('one', 0)
  const guarantees = [{ ...gang, count: 1 }]
  await unwrap(node.node.applyContract({ ...change, contract: { ...change.contract, guarantees } }))
  await node.clock.advance(timings.upstreamSuspectMs - 500)
  t.false(hasAlarm())
  await node.clock.advance(2000)
  t.true(hasAlarm())
})
