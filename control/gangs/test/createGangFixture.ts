/** Fixture for gangs of two members on fake upstreams, with a clock that advances only when a test advances it. */
import type { JobRequest, TaskReport } from '@nettlespur/api.schemas'
import { createContract, createJobRequest, FakeUpstreams } from '@nettlespur/control.fakes'
import { readJob, StateHolder, type Command, type JobRecord } from '@nettlespur/control.state'
import { ManualClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import { Subject } from 'rxjs'
import { GangManager } from '../src/index.js'
import { MemoryLog } from './memoryLog.js'

export const timings = {
  taskLeaseMs: 15_000,
  renewTasksEveryMs: 3000,
  clockDriftMarginMs: 500,
  stopGraceMs: 2000,
}
/** Longer than any lease with its clock drift margin. */
export const allLeasesExpiredMs = 40_000

export async function createGangFixture() {
  const clock = new ManualClock(new Date('2026-01-01T00:00:00Z'))
  const holder = new StateHolder()
  const log = new MemoryLog(holder)
  const client = new FakeUpstreams(clock)
  const taskReports = new Subject<TaskReport>()
  const lines: string[] = []
  const logger = createLogger({
    name: 'control',
    instanceId: 'c1',
    write: (line) => lines.push(line),
  })
  const silentUpstreams = new Set<string>()
  const upstreamChanges = new Subject<string>()
  const opts = {
    clock,
    logger,
    log,
    holder,
    client,
    timings,
    taskReports,
    isUpstreamSilent: (upstreamId: string) => silentUpstreams.has(upstreamId),
    upstreamChanges,
    random: () => 0,
  }
  const at = clock.now().toISOString()
  const change = { changeId: 'c', expectedRevision: 0, contract: createContract('demo') }
  await unwrap(log.propose({ type: 'contract.apply', at, change }))
  return { ...opts, lines, silentUpstreams, createManager: () => new GangManager(opts) }
}

export type GangFixture = Awaited<ReturnType<typeof createGangFixture>>

export async function submitGang(
  { clock, log }: GangFixture,
  fields: Partial<JobRequest>,
): Promise<string> {
  const at = clock.now().toISOString()
  const request = createJobRequest({ gang: { accelerators: 2, adjacency: 'none' }, ...fields })
  const submitted = await unwrap(log.propose({ type: 'job.submit', at, request }))
  return readJob(submitted).unsafeCoerce().jobId
}

/** Places a queued job on two upstreams, at addresses `a0` and `a1`. */
export async function placeGang(
  { clock, log }: GangFixture,
  jobId: string,
  acceleratorIndex = 0,
): Promise<JobRecord> {
  const at = clock.now().toISOString()
  const assignments = [0, 1].map((index) => {
    const acceleratorIndexes = [acceleratorIndex]
    return { upstreamId: `u${index}`, address: `a${index}`, acceleratorIndexes }
  })
  const placed = await unwrap(
    log.propose({ type: 'job.place', at, jobId, assignments, reason: '' }),
  )
  return readJob(placed).unsafeCoerce()
}

export async function startGang(
  gangs: GangFixture,
  fields: Partial<JobRequest>,
  manager = gangs.createManager(),
  acceleratorIndex = 0,
) {
  const job = await placeGang(gangs, await submitGang(gangs, fields), acceleratorIndex)
  manager.start(job)
  await gangs.clock.advance(1)
  const [first, second] = (job.placement?.members ?? []).map((member) => member.taskId)
  return { job, manager, first: first ?? '', second: second ?? '' }
}

export function readState({ holder }: GangFixture, { jobId }: JobRecord): JobRecord | undefined {
  return holder.state.getJob('demo', jobId)
}

export async function cancel({ log, clock }: GangFixture, { jobId }: JobRecord): Promise<void> {
  const at = clock.now().toISOString()
  await unwrap(log.propose({ type: 'job.cancel', at, workspace: 'demo', jobId }))
}

export async function preempt(
  { log, clock }: GangFixture,
  { jobId, placement }: JobRecord,
  withCheckpoint: boolean,
): Promise<void> {
  const at = clock.now().toISOString()
  const fence = placement?.fence ?? 0
  const reason = 'preempted by the test'
  const command: Command = { type: 'job.preempt', at, jobId, fence, withCheckpoint, reason }
  await unwrap(log.propose(command))
}
