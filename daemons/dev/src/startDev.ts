/**
 * Everything in one process on loopback: one control, one entry and stand-in upstreams, with an example
 * contract. It is the same code as the separate daemons; only the settings are made here.
 */
import path from 'node:path'
import { RemoteControlApi } from '@nettlespur/control.api'
import { SystemClock } from '@nettlespur/core.clock'
import { NettlespurError, unwrap } from '@nettlespur/core.errors'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { createLogger, type Logger } from '@nettlespur/core.logger'
import { startControl, type RunningControl } from '@nettlespur/daemons.control'
import { startEntry, type RunningEntry } from '@nettlespur/daemons.entry'
import { createKey } from '@nettlespur/net.keys'
import { startStandInUpstream } from '@nettlespur/upstream.standIn'
import { createDevSettings } from './devSettings.js'
import { demoContract } from './demoContract.js'

const drainDeadlineMs = 30_000
const callTimeoutMs = 5000
const upstreamsPerRack = 4

export interface StartDevOptions {
  /** How many stand-in upstreams. */
  upstreams: number
  /** Port of the entry on 127.0.0.1; 0 takes a free one. */
  port: number
  /** Where the agreed state lives. */
  dataFolder: string
  /** Where log lines go; standard error by default. */
  writeLog?: (line: string) => void
}

export interface RunningDev {
  /** Where callers and operators reach the entry. */
  readonly endpoint: string
  stop(): Promise<void>
}

/** Errors: rejects where the port is taken or the data folder cannot be used. */
export async function startDev(opts: StartDevOptions): Promise<RunningDev> {
  const clock = new SystemClock()
  const lifecycle = new LifecycleManager({ clock, drainDeadlineMs })
  const write = opts.writeLog === undefined ? {} : { write: opts.writeLog }
  const logger = createLogger({ name: 'dev', instanceId: 'dev', ...write })
  try {
    return await startAll(opts, { clock, lifecycle, logger })
  } catch (thrown) {
    await lifecycle.stop()
    throw thrown
  }
}

interface Parts {
  readonly clock: SystemClock
  readonly lifecycle: LifecycleManager
  readonly logger: Logger
}

/** What was started last stops first: the entry drains while control and upstreams still serve it. */
async function startAll(opts: StartDevOptions, parts: Parts): Promise<RunningDev> {
  const { clock, lifecycle, logger } = parts
  const peerKey = createKey()
  const settings = createDevSettings({ port: opts.port, dataFolder: path.resolve(opts.dataFolder) })
  const control = await startControl(settings.control, { clock, logger, peerKeys: [peerKey] })
  lifecycle.own('control', () => control.stop())
  await applyDemoContract(control, peerKey, clock)
  const entry = await startEntry(settings.createEntry(control.peerAddress), {
    clock,
    logger,
    keys: { peers: [peerKey], operators: [], upstreams: [] },
  })
  await startUpstreams(opts, parts, entry)
  lifecycle.own('entry', () => entry.stop())
  return { endpoint: `http://${entry.listenAddress}`, stop: () => lifecycle.stop() }
}

/** Keeps a contract that an earlier run or an operator left behind. */
async function applyDemoContract(
  control: RunningControl,
  peerKey: string,
  clock: SystemClock,
): Promise<void> {
  const api = new RemoteControlApi({
    clock,
    addresses: [control.peerAddress],
    peerKey,
    timeoutMs: callTimeoutMs,
  })
  try {
    const change = { changeId: 'dev-demo-contract', expectedRevision: 0, contract: demoContract }
    await unwrap(api.applyContract(change))
  } catch (thrown) {
    if (!(thrown instanceof NettlespurError) || thrown.kind !== 'stale-revision') throw thrown
  } finally {
    api.close()
  }
}

async function startUpstreams(
  opts: StartDevOptions,
  parts: Parts,
  entry: RunningEntry,
): Promise<void> {
  for (let index = 0; index < opts.upstreams; index++) {
    const standIn = await startStandInUpstream({
      clock: parts.clock,
      logger: parts.logger,
      upstreamId: `u${index + 1}`,
      dataCentre: 'dc1',
      rack: `r${Math.floor(index / upstreamsPerRack) + 1}`,
      listenAddress: '127.0.0.1:0',
      entries: [entry.listenAddress],
      slots: 8,
      cpuCores: 32,
      memoryBytes: 137_438_953_472,
      accelerators: 8,
    })
    parts.lifecycle.own(`upstream u${index + 1}`, () => standIn.stop())
  }
}
