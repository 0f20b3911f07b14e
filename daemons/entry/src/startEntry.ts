/**
 * Starts one entry in this process. A planned stop goes in this order: the balancer is told, new work is
 * refused, requests in progress get their answers, control is told, then everything closes.
 */
import type { ControlApi } from '@nettlespur/control.api'
import { SystemClock, type Clock } from '@nettlespur/core.clock'
import { LifecycleManager } from '@nettlespur/core.lifecycle'
import { createLogger, type Logger } from '@nettlespur/core.logger'
import { MetricsRegistry } from '@nettlespur/core.metrics'
import { readTlsFiles } from '@nettlespur/daemons.common'
import { createEntryRoutes, type EntryContext } from '@nettlespur/entry.service'
import { announceLeaving, watchCluster, type WatchClusterOptions } from '@nettlespur/entry.view'
import { createHttpServer, type HttpServer } from '@nettlespur/net.server'
import type { EntrySettings } from '@nettlespur/settings.schemas'
import { openControl } from './controlConnections.js'
import { createContext } from './createContext.js'
import { drainEntry } from './drainEntry.js'
import { readEntryKeys, type EntryKeys } from './entryFiles.js'
import { ownTaskInTurn } from './ownTaskInTurn.js'

/** What tests and the embedded mode hand in instead of what the settings name. */
export interface StartEntryOptions {
  clock?: Clock
  logger?: Logger
  metrics?: MetricsRegistry
  /** Closed by whoever made it. */
  control?: ControlApi
  keys?: EntryKeys
}

export interface RunningEntry {
  /** `IP:PORT` as bound. */
  readonly listenAddress: string
  readonly lifecycle: LifecycleManager
  /** A planned stop; later calls get the same promise. */
  stop(): Promise<void>
}

/** Errors: rejects with `invalid-settings`, or where the address cannot be bound. */
export async function startEntry(
  settings: EntrySettings,
  opts: StartEntryOptions = {},
): Promise<RunningEntry> {
  const clock = opts.clock ?? new SystemClock()
  const logger = opts.logger ?? createEntryLogger(settings)
  const metrics = opts.metrics ?? new MetricsRegistry()
  const keys = opts.keys ?? readEntryKeys(settings)
  const lifecycle = createLifecycle(settings, clock, logger)
  try {
    const control = chooseControl(settings, opts.control, { clock, keys, lifecycle })
    const common = { clock, logger, metrics, keys, lifecycle }
    const context = createContext(settings, { ...common, control: control.calls })
    const server = await listen(settings, context)
    const watch = createWatchOptions(settings, context, control.watch, server)
    ownRunningParts({ settings, lifecycle, context, server, watch })
    logger.info({ event: 'entry.listening', address: server.address })
    return { listenAddress: server.address, lifecycle, stop: () => lifecycle.stop() }
  } catch (thrown) {
    await lifecycle.stop()
    throw thrown
  }
}

function createEntryLogger(settings: EntrySettings): Logger {
  return createLogger({
    name: 'entry',
    instanceId: settings.instanceId,
    level: settings.log.level,
  })
}

function createLifecycle(settings: EntrySettings, clock: Clock, logger: Logger): LifecycleManager {
  return new LifecycleManager({
    clock,
    drainDeadlineMs: settings.drainDeadlineMs,
    onFault: ({ name, cause }) => {
      logger.error({ event: 'entry.clean-up-failed', step: name, reason: String(cause) })
    },
  })
}

function chooseControl(
  settings: EntrySettings,
  given: ControlApi | undefined,
  opts: Parameters<typeof openControl>[1],
) {
  return given === undefined ? openControl(settings, opts) : { calls: given, watch: given }
}

function listen(settings: EntrySettings, context: EntryContext): Promise<HttpServer> {
  return createHttpServer({
    address: settings.listenAddress,
    routes: createEntryRoutes(context),
    bodyBytesMax: settings.limits.bodyBytesMax,
    headerBytesMax: settings.limits.headerBytesMax,
    tls: readTlsFiles(settings.tls),
    onInternalError: (error) => {
      context.logger.error({ event: 'entry.internal-error', reason: error.stack ?? error.message })
    },
  })
}

function createWatchOptions(
  settings: EntrySettings,
  context: EntryContext,
  control: ControlApi,
  server: HttpServer,
): WatchClusterOptions {
  const { clock, logger, view } = context
  const entry = {
    entryId: settings.instanceId,
    address: server.address,
    peerAddress: settings.peerAddress,
    dataCentre: settings.dataCentre,
  }
  return { clock, logger, view, control, entry, waitMs: settings.timings.watchWaitMs }
}

interface RunningParts {
  settings: EntrySettings
  lifecycle: LifecycleManager
  context: EntryContext
  server: HttpServer
  watch: WatchClusterOptions
}

/** Registered in reverse: the listening side drains first, connections are cut last. */
function ownRunningParts(parts: RunningParts): void {
  const { settings, lifecycle, context, server, watch } = parts
  lifecycle.own('open connections', () => {
    server.destroy()
  })
  ownTaskInTurn(lifecycle, 'announcements', (signal) => context.relay.run(signal))
  lifecycle.own('leave told to control', () => announceLeaving(watch))
  ownTaskInTurn(lifecycle, 'watch of control', (signal) => watchCluster(watch, signal))
  lifecycle.own('listening side', () =>
    drainEntry({
      context,
      server,
      unreadyNoticeMs: settings.timings.unreadyNoticeMs,
      drainDeadlineMs: settings.drainDeadlineMs,
    }),
  )
}
