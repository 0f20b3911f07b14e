/** Puts together what the routes of one entry share. */
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { LifecycleManager } from '@nettlespur/core.lifecycle'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import {
  AccessControl,
  AnnouncementRelay,
  DrainState,
  type EntryContext,
} from '@nettlespur/entry.service'
import { ClusterView } from '@nettlespur/entry.view'
import type { EntrySettings } from '@nettlespur/settings.schemas'
import { createRouter } from './createRouter.js'
import type { EntryKeys } from './entryFiles.js'

export interface CreateContextOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  control: ControlApi
  keys: EntryKeys
  lifecycle: LifecycleManager
}

export function createContext(settings: EntrySettings, opts: CreateContextOptions): EntryContext {
  const { clock, logger, metrics, control, keys, lifecycle } = opts
  const view = new ClusterView({ clock, logger })
  lifecycle.own('contract lease', () => {
    view.lease.end()
  })
  const upstreamKey = keys.upstreams[0]
  metrics.gauge('contract_lease_held', () => Number(view.lease.isHeld()))
  metrics.gauge('upstreams_known', () => view.upstreams.value.size)
  return {
    clock,
    logger,
    metrics,
    control,
    view,
    router: createRouter(settings, { ...opts, view, upstreamKey }),
    access: new AccessControl({
      view,
      keysRequired: settings.keysRequired,
      operatorKeys: keys.operators,
      upstreamKeys: keys.upstreams,
    }),
    relay: new AnnouncementRelay({ clock, logger, control }),
    drain: new DrainState(),
    requestDeadlineMs: settings.timings.requestDeadlineMs,
    announceEveryMs: settings.timings.announceEveryMs,
  }
}
