/** One stand-in on a manual clock, a client of it, and reservations to send. */
import type { ReserveTask } from '@nettlespur/api.schemas'
import { ManualClock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import { createLogger } from '@nettlespur/core.logger'
import {
  HttpUpstreamClient,
  type HttpUpstreamClientOptions,
  type TaskReference,
} from '@nettlespur/upstream.client'
import type { ExecutionContext } from 'ava'
import type { EitherAsync } from 'purify-ts'
import { filter, firstValueFrom } from 'rxjs'
import {
  startStandInUpstream,
  type StandInUpstream,
  type StandInUpstreamOptions,
} from '../src/index.js'

export interface Trial {
  readonly clock: ManualClock
  readonly standIn: StandInUpstream
  readonly client: HttpUpstreamClient
  readonly refer: (taskId: string, fence: number) => TaskReference
}

export const quietLogger = createLogger({
  name: 'upstream',
  instanceId: 'u1',
  write: () => undefined,
})

export async function createTrial(
  t: ExecutionContext,
  opts: Partial<StandInUpstreamOptions> = {},
  clientOpts: Partial<HttpUpstreamClientOptions> = {},
): Promise<Trial> {
  const clock = new ManualClock()
  const standIn = await startStandInUpstream({
    clock,
    logger: quietLogger,
    upstreamId: 'u1',
    dataCentre: 'dc1',
    rack: 'r1',
    listenAddress: '127.0.0.1:0',
    entries: [],
    slots: 2,
    cpuCores: 32,
    memoryBytes: 1000,
    accelerators: 8,
    ...opts,
  })
  const client = new HttpUpstreamClient({ clock, timeoutMs: 1000, ...clientOpts })
  t.teardown(async () => {
    client.close()
    await standIn.stop()
  })
  const refer = (taskId: string, fence: number): TaskReference => ({
    address: standIn.address,
    taskId,
    fence,
  })
  return { clock, standIn, client, refer }
}

export function createReservation(changes: Partial<ReserveTask> = {}): ReserveTask {
  return {
    jobId: 'j1',
    fence: 5,
    workspace: 'w1',
    rank: 0,
    gangSize: 1,
    acceleratorIndexes: [0, 1],
    cpuCores: 4,
    memoryBytes: 100,
    leaseMs: 10_000,
    payload: JSON.stringify({ runTimeMs: 500 }),
    ...changes,
  }
}

/** The state that a call answers, or the kind of its error. */
export async function tell(call: EitherAsync<NettlespurError, { state: string }>): Promise<string> {
  const outcome = await call.run()
  return outcome.caseOf({ Left: (error) => error.kind, Right: ({ state }) => state })
}

/** Resolves when the stand-in holds this many calls without an answer. */
export async function waitForHeldCalls(standIn: StandInUpstream, count: number): Promise<void> {
  await firstValueFrom(standIn.faults.heldCalls.pipe(filter((held) => held === count)))
}

/** Resolves when this many tasks have been started. */
export async function waitForStarts(standIn: StandInUpstream, count: number): Promise<void> {
  const countStarts = (): number =>
    standIn.listRuns().reduce((total, { startedCount }) => total + startedCount, 0)
  while (countStarts() < count) await new Promise(setImmediate)
}
