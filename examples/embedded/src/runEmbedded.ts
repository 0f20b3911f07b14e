/**
 * A program that hosts one control and one entry itself, and runs a gang through them. A real program would
 * have real upstreams announce themselves; here a stand-in does.
 */
import { jobAnswerSchema, jobViewSchema, type JobAnswer } from '@nettlespur/api.schemas'
import { SystemClock } from '@nettlespur/core.clock'
import { unwrap } from '@nettlespur/core.errors'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { createLogger } from '@nettlespur/core.logger'
import { startControl } from '@nettlespur/daemons.control'
import { startEntry } from '@nettlespur/daemons.entry'
import { callJson } from '@nettlespur/net.client'
import { createKey } from '@nettlespur/net.keys'
import { controlSettingsSchema, entrySettingsSchema } from '@nettlespur/settings.schemas'
import { startStandInUpstream } from '@nettlespur/upstream.standIn'
import { z } from 'zod'
import { exampleContract } from './exampleContract.js'

const anyPort = '127.0.0.1:0'
const callTimeoutMs = 20_000
const drainDeadlineMs = 10_000

export interface RunEmbeddedOptions {
  /** Where the agreed state lives. */
  dataFolder: string
  writeLog: (line: string) => void
}

/** Starts everything, runs one gang, stops everything in reverse order, and gives the gang's answer. */
export async function runEmbedded(opts: RunEmbeddedOptions): Promise<JobAnswer> {
  const clock = new SystemClock()
  const lifecycle = new LifecycleManager({ clock, drainDeadlineMs })
  try {
    return await runGang(clock, await startSystem(opts, clock, lifecycle))
  } finally {
    await lifecycle.stop()
  }
}

/** The address of the entry. */
async function startSystem(
  opts: RunEmbeddedOptions,
  clock: SystemClock,
  lifecycle: LifecycleManager,
): Promise<string> {
  const logger = createLogger({ name: 'example', instanceId: 'i1', write: opts.writeLog })
  const peerKey = createKey()
  const common = { instanceId: 'i1', dataCentre: 'dc1', keyFiles: { peers: 'held-in-memory' } }
  const controlSettings = controlSettingsSchema.parse({
    ...common,
    peerAddress: anyPort,
    dataFolder: opts.dataFolder,
    members: [{ memberId: 'i1', peerAddress: anyPort, dataCentre: 'dc1' }],
  })
  const control = await startControl(controlSettings, { clock, logger, peerKeys: [peerKey] })
  lifecycle.own('control', () => control.stop())
  const entrySettings = entrySettingsSchema.parse({
    ...common,
    listenAddress: anyPort,
    peerAddress: anyPort,
    control: [control.peerAddress],
    keysRequired: false,
    timings: { unreadyNoticeMs: 0 },
  })
  const keys = { peers: [peerKey], operators: [], upstreams: [] }
  const entry = await startEntry(entrySettings, { clock, logger, keys })
  const upstream = await startStandInUpstream({
    clock,
    logger,
    upstreamId: 'u1',
    dataCentre: 'dc1',
    rack: 'r1',
    listenAddress: anyPort,
    entries: [entry.listenAddress],
    slots: 8,
    cpuCores: 32,
    memoryBytes: 137_438_953_472,
    accelerators: 8,
  })
  lifecycle.own('upstream', () => upstream.stop())
  lifecycle.own('entry', () => entry.stop())
  return entry.listenAddress
}

async function runGang(clock: SystemClock, address: string): Promise<JobAnswer> {
  const { workspace } = exampleContract
  const call = { clock, address, timeoutMs: callTimeoutMs }
  await unwrap(
    callJson({
      ...call,
      method: 'PUT',
      path: `/v1/contracts/${workspace}?wait=in-force`,
      headers: { 'if-match': '0', 'idempotency-key': 'example-contract' },
      json: exampleContract,
      answer: z.object({ revision: z.int() }),
    }),
  )
  const job = {
    workspace,
    gang: { accelerators: 4, adjacency: 'upstream' },
    cpuCores: 4,
    memoryBytes: 1_073_741_824,
    expectedRunTimeMs: 1000,
    repeatable: true,
    payload: 'from another program',
  }
  const accepted = jobViewSchema.pick({ jobId: true })
  const submit = { ...call, method: 'POST', path: '/v1/jobs', json: job, answer: accepted }
  const { jobId } = await unwrap(callJson(submit))
  return unwrap(
    callJson({
      ...call,
      method: 'GET',
      path: `/v1/jobs/${jobId}/answer?waitMs=10000`,
      headers: { 'nettlespur-workspace': workspace },
      answer: jobAnswerSchema,
    }),
  )
}
