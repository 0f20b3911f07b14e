/** Dependencies and settings that the routes of one entry share. */
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { RequestRouter } from '@nettlespur/entry.requests'
import type { ClusterView } from '@nettlespur/entry.view'
import type { AccessControl } from './accessControl.js'
import type { AnnouncementRelay } from './announcementRelay.js'
import type { DrainState } from './drainState.js'

export interface EntryContext {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: MetricsRegistry
  readonly control: ControlApi
  readonly view: ClusterView
  readonly router: RequestRouter
  readonly access: AccessControl
  readonly relay: AnnouncementRelay
  readonly drain: DrainState
  /** Deadline of short requests that set none. */
  readonly requestDeadlineMs: number
  /** How often upstreams are told to announce themselves. */
  readonly announceEveryMs: number
}
