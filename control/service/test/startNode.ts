/** Starts a control instance with fake upstreams and a clock that the test advances. */
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createAnnouncement } from '@nettlespur/api.samples'
import type { JobRequest } from '@nettlespur/api.schemas'
import { createContract, createJobRequest, FakeUpstreams } from '@nettlespur/control.fakes'
import { RaftLog, RpcTransport } from '@nettlespur/control.log'
import { StateHolder } from '@nettlespur/control.state'
import { ManualClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { createPolicy, type PlacementPolicy } from '@nettlespur/placement.engine'
import { FileLogStore } from '@nettlespur/storage.log'
import type { ExecutionContext } from 'ava'
import { EitherAsync } from 'purify-ts'
import { ControlNode } from '../src/index.js'

export const timings = {
  contractLeaseMs: 4000,
  upstreamSuspectMs: 3000,
  upstreamGoneMs: 10_000,
  taskLeaseMs: 15_000,
  renewTasksEveryMs: 3000,
  clockDriftMarginMs: 500,
  stopGraceMs: 2000,
}
const roundsMax = 2000
export const announcement = createAnnouncement({ address: '127.0.0.1:9' })
export async function startNode(
  t: ExecutionContext,
  folder?: string,
  policy: PlacementPolicy = createPolicy('completionTime'),
) {
  const clock = new ManualClock(new Date('2026-01-01T00:00:00Z'))
  const holder = new StateHolder()
  const dataFolder = folder ?? (await mkdtemp(path.join(tmpdir(), 'control-')))
  const client = new FakeUpstreams(clock)
  const lines: string[] = []
  const logger = createLogger({ name: 'control', instanceId: 'c1', write: (l) => lines.push(l) })
  const log = await RaftLog.open({
    memberId: 'c1',
    initialMembers: [{ memberId: 'c1', peerAddress: '127.0.0.1:3', dataCentre: 'dc1' }],
    clock,
    logger,
    store: await FileLogStore.open({ folder: dataFolder, clock, logger }),
    transport: new RpcTransport({ clock, peerKey: 'not-used', timeoutMs: 1000 }),
    holder,
    timings: { heartbeatMs: 250, electionTimeoutMs: 1500, replaceVoterAfterMs: 60_000 },
  })
  const countPending = trackPendingCommits(log)
  const node = new ControlNode({
    instanceId: 'c1',
    clock,
    logger,
    metrics: new MetricsRegistry(),
    log,
    holder,
    policy,
    client,
    timings,
    random: () => 0,
  })
  const stop = async () => {
    await node.stop()
    await log.stop()
  }
  t.teardown(stop)
  const isCommitting = () => countPending() > 0
  return { clock, holder, log, client, node, lines, dataFolder, stop, isCommitting }
}

export type TestNode = Awaited<ReturnType<typeof startNode>>

/**
 * Advances the clock in small steps until the condition holds. The clock does not advance while a command is
 * being committed, as the disk takes real time.
 */
export async function runUntil(node: TestNode, isReached: () => boolean): Promise<void> {
  for (let rounds = 0; !isReached(); rounds++) {
    if (rounds > roundsMax) throw new Error('never reached')
    const nextTurn = new Promise<void>((resolve) => setImmediate(resolve))
    if (node.isCommitting()) rounds -= 1
    else await node.clock.advance(5)
    await nextTurn
  }
}

/** Returns a function that counts the proposed commands of `log` that are not committed yet. */
function trackPendingCommits(log: RaftLog): () => number {
  let pending = 0
  const propose = log.propose.bind(log)
  log.propose = (command) =>
    EitherAsync.fromPromise(async () => {
      pending += 1
      const outcome = await propose(command).run()
      pending -= 1
      return outcome
    })
  return () => pending
}

export async function submit({ node }: TestNode, fields: Partial<JobRequest>): Promise<string> {
  const { jobId } = await unwrap(node.submitJob(createJobRequest(fields)))
  return jobId
}

export function createContractChange(changeId: string, expectedRevision: number) {
  return { changeId, expectedRevision, contract: createContract('demo') }
}
