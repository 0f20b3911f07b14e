import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { Announcement, JobRequest } from '@nettlespur/api.schemas'
import type { WatchRequest } from '@nettlespur/control.api'
import { createContract, createJobRequest, FakeUpstreams } from '@nettlespur/control.fakes'
import { SingleNodeLog } from '@nettlespur/control.log'
import { StateHolder } from '@nettlespur/control.state'
import { ManualClock, SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { BestFitPolicy } from '@nettlespur/placement.engine'
import test, { type ExecutionContext } from 'ava'
import { firstValueFrom, filter } from 'rxjs'
import { ControlNode } from '../src/index.js'

const timings = {
  contractLeaseMs: 4000,
  upstreamSuspectMs: 3000,
  upstreamGoneMs: 10_000,
  taskLeaseMs: 15_000,
  renewTasksEveryMs: 3000,
  clockDriftMarginMs: 500,
  stopGraceMs: 2000,
}
const announcement: Announcement = {
  address: '127.0.0.1:9',
  dataCentre: 'dc1',
  rack: 'r1',
  slots: 8,
  cpuCores: 32,
  memoryBytes: 1_000_000,
  accelerators: 8,
  state: 'ready',
  tasks: [],
}
const watchRequest: WatchRequest = {
  entry: { entryId: 'e1', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', dataCentre: 'dc1' },
  epoch: '',
  contractIndex: 0,
  upstreamVersion: 0,
  waitMs: 2000,
  leaving: false,
}

async function startNode(t: ExecutionContext, folder?: string) {
  const clock = new ManualClock(new Date('2026-01-01T00:00:00Z'))
  const holder = new StateHolder()
  const dataFolder = folder ?? (await mkdtemp(path.join(tmpdir(), 'control-')))
  const log = await SingleNodeLog.open({
    memberId: 'c1',
    peerAddress: '127.0.0.1:3',
    dataCentre: 'dc1',
    dataFolder,
    holder,
  })
  const client = new FakeUpstreams(clock)
  const lines: string[] = []
  const logger = createLogger({ name: 'control', instanceId: 'c1', write: (l) => lines.push(l) })
  const node = new ControlNode({
    instanceId: 'c1',
    clock,
    logger,
    metrics: new MetricsRegistry(),
    log,
    holder,
    policy: new BestFitPolicy(),
    client,
    timings,
    random: () => 0,
  })
  const stop = async () => {
    await node.stop()
    await log.stop()
  }
  t.teardown(stop)
  return { clock, holder, log, client, node, lines, dataFolder, stop }
}

type TestNode = Awaited<ReturnType<typeof startNode>>

/** Moves time on, a little at a time, until the state is as wanted: the log's disk takes real time. */
async function runUntil(node: TestNode, isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    const moved = new Promise<void>((resolve) => setImmediate(resolve))
    await node.clock.advance(5)
    await moved
  }
}

async function submit({ node }: TestNode, fields: Partial<JobRequest>): Promise<string> {
  const { jobId } = await unwrap(node.submitJob(createJobRequest(fields)))
  return jobId
}

function change(changeId: string, expectedRevision: number) {
  return { changeId, expectedRevision, contract: createContract('demo') }
}

test('a job is placed, started and answered whole, and every placement leaves a log line', async (t) => {
  const node = await startNode(t)
  await unwrap(node.node.applyContract(change('one', 0)))
  await unwrap(node.node.announce({ items: [{ upstreamId: 'u1', announcement }] }))
  const jobId = await submit(node, { gang: { accelerators: 4, adjacency: 'upstream' } })
  const taskId = `${jobId}.1.0`
  await runUntil(node, () => node.client.stateOf(taskId) === 'running')
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
