/** Puts the request router of one entry together. */
import type { ControlApi } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { LifecycleManager } from '@nettlespur/core.lifecycle'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { ClaimingRouter, UpstreamAnswerCollector } from '@nettlespur/entry.claims'
import {
  EqualShareQuotas,
  EqualShareSlots,
  HttpTaskTransport,
  LocalRequestRouter,
  MostFreePicker,
  RequestQueue,
  type RequestRouter,
} from '@nettlespur/entry.requests'
import type { ClusterView } from '@nettlespur/entry.view'
import type { EntrySettings } from '@nettlespur/settings.schemas'
import { HttpUpstreamClient } from '@nettlespur/upstream.client'

export interface CreateRouterOptions {
  clock: Clock
  logger: Logger
  metrics: MetricsRegistry
  control: ControlApi
  view: ClusterView
  lifecycle: LifecycleManager
  /** Sent to upstreams; undefined where they need none. */
  upstreamKey: string | undefined
}

export function createRouter(settings: EntrySettings, opts: CreateRouterOptions): RequestRouter {
  const { clock, view, lifecycle, upstreamKey } = opts
  const quotas = new EqualShareQuotas({ view, entryId: settings.instanceId })
  const slots = new EqualShareSlots(view)
  const queue = new RequestQueue({ clock, view, quotas, slots, picker: new MostFreePicker() })
  const transport = new HttpTaskTransport({
    clock,
    upstreamKey,
    connectionsPerUpstream: settings.limits.connectionsPerUpstream,
    connectionProvenMs: settings.timings.connectionProvenMs,
    answerBytesMax: settings.limits.answerBytesMax,
  })
  lifecycle.own('connections to upstreams', () => {
    transport.close()
  })
  lifecycle.own('request queue', () => {
    queue.close()
  })
  opts.metrics.gauge('requests_waiting', () => queue.waiting)
  const router = new LocalRequestRouter({ ...opts, quotas, queue, transport })
  return createClaimingRouter(settings, opts, router)
}

function createClaimingRouter(
  settings: EntrySettings,
  opts: CreateRouterOptions,
  router: RequestRouter,
): RequestRouter {
  const { lifecycle, clock, logger, control, upstreamKey: key } = opts
  const { answerBytesMax } = settings.limits
  const client = new HttpUpstreamClient({ clock, key, answerBytesMax, connectionsPerUpstream: 1 })
  lifecycle.own('collection of answers', () => {
    client.close()
  })
  const collector = new UpstreamAnswerCollector(client)
  const { instanceId: entryId } = settings
  const claiming = new ClaimingRouter({ clock, logger, control, collector, entryId, router })
  lifecycle.own('outcomes of claims', () => claiming.flush())
  return claiming
}
