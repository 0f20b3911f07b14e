/** Starts one control instance: log, node, peer side and, where asked for, health and figures. */
import { createControlRouter } from '@nettlespur/control.api'
import { createRaftRouter } from '@nettlespur/control.log'
import { ControlNode } from '@nettlespur/control.service'
import { StateHolder } from '@nettlespur/control.state'
import { SystemClock, type Clock } from '@nettlespur/core.clock'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { createLogger, type Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { readKeys, readTlsFiles } from '@nettlespur/daemons.common'
import { createHttpServer } from '@nettlespur/net.server'
import { createPolicy } from '@nettlespur/placement.engine'
import { createRpcServer } from '@nettlespur/rpc.peer'
import type { ControlSettings } from '@nettlespur/settings.schemas'
import { initTRPC } from '@trpc/server'
import { createUpstreamClient, type UpstreamClientFactory } from './createUpstreamClient.js'
import { openLog } from './openLog.js'
import { createStatusRoutes } from './statusRoutes.js'

const { mergeRouters } = initTRPC.create()

export interface StartControlOptions {
  clock?: Clock
  logger?: Logger
  metrics?: MetricsRegistry
  /** Accepted from peers; read from the key file of the settings by default. */
  peerKeys?: readonly string[]
  createUpstreamClient?: UpstreamClientFactory
}

export interface RunningControl {
  /** `IP:PORT` as bound. */
  readonly peerAddress: string
  /** As bound; undefined where none was asked for. */
  readonly statusAddress: string | undefined
  readonly lifecycle: LifecycleManager
  stop(): Promise<void>
}

/** Errors: rejects with `invalid-settings`, `storage-damaged`, or where an address cannot be bound. */
export async function startControl(
  settings: ControlSettings,
  opts: StartControlOptions = {},
): Promise<RunningControl> {
  const clock = opts.clock ?? new SystemClock()
  const { instanceId, log: logSettings } = settings
  const logger =
    opts.logger ?? createLogger({ name: 'control', instanceId, level: logSettings.level })
  const lifecycle = new LifecycleManager({
    clock,
    drainDeadlineMs: settings.drainDeadlineMs,
    onFault: ({ name, cause }) => {
      logger.error({ event: 'control.stop-fault', name, reason: String(cause) })
    },
  })
  try {
    return await openAll(settings, { ...opts, clock, logger, lifecycle })
  } catch (thrown) {
    await lifecycle.stop()
    throw thrown
  }
}

interface OpenOptions extends StartControlOptions {
  clock: Clock
  logger: Logger
  lifecycle: LifecycleManager
}

/** Clean-up runs in reverse: the node answers its waiting calls, the servers drain, the log closes. */
async function openAll(settings: ControlSettings, opts: OpenOptions): Promise<RunningControl> {
  const { clock, logger, lifecycle } = opts
  const { instanceId, timings } = settings
  const metrics = opts.metrics ?? new MetricsRegistry()
  const peerKeys = opts.peerKeys ?? readKeys(settings.keyFiles.peers)
  const client = (opts.createUpstreamClient ?? createUpstreamClient)(settings, clock, lifecycle)
  const holder = new StateHolder()
  const peerKey = peerKeys[0] ?? ''
  const log = await openLog(settings, { clock, logger, lifecycle, holder, peerKey })
  const policy = createPolicy(settings.objective)
  const node = new ControlNode({
    instanceId,
    clock,
    logger,
    metrics,
    log,
    holder,
    policy,
    client,
    timings,
  })
  const stopNode = (): Promise<void> => node.stop()
  lifecycle.own('node', stopNode)
  const tls = readTlsFiles(settings.tls)
  const router = mergeRouters(createControlRouter(node), createRaftRouter(log.receiver))
  const { peerAddress: address } = settings
  const server = await createRpcServer({ address, router, peerKeys, tls })
  lifecycle.own('peer side', () => server.drain())
  const statusAddress = await openStatus(settings, { node, metrics, lifecycle })
  // Stopping the node is idempotent; first in line, it wakes the long polls that the drain waits for.
  lifecycle.own('leadership', async () => {
    await log.transferLeadership()
    await stopNode()
  })
  const { address: peerAddress } = server
  logger.info({ event: 'control.listening', peerAddress, statusAddress })
  return { peerAddress, statusAddress, lifecycle, stop: () => lifecycle.stop() }
}

async function openStatus(
  settings: ControlSettings,
  parts: { node: ControlNode; metrics: MetricsRegistry; lifecycle: LifecycleManager },
): Promise<string | undefined> {
  const { statusAddress: address } = settings
  if (address === undefined) return undefined
  const routes = createStatusRoutes(parts.node, parts.metrics)
  const server = await createHttpServer({ address, routes, tls: readTlsFiles(settings.tls) })
  parts.lifecycle.own('status side', () => server.drain())
  return server.address
}
