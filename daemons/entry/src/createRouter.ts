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
  RecordedTransport,
  RequestQueue,
  TrustedPicker,
  UpstreamRecords,
  type RequestRouter,
} from '@nettlespur/entry.requests'
import type { ClusterView } from '@nettlespur/entry.view'
import type { EntrySettings } from '@nettlespur/settings.schemas'
import { HttpUpstreamClient } from '@nettlespur/upstream.client'

/** Of the about 60 connections an upstream bears, the rest is for control and for questions. */
const keptPerUpstream = 48

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
  const records = new UpstreamRecords(opts)
  const picker = new TrustedPicker(records, new MostFreePicker())
  const pickerChanges = records.changes
  const queue = new RequestQueue({ clock, view, quotas, slots, picker, pickerChanges })
  const transport = new HttpTaskTransport({
    clock,
    upstreamKey,
    connectionsPerUpstream: () => shareConnections(settings, view),
    connectionProvenMs: settings.timings.connectionProvenMs,
    answerBytesMax: settings.limits.answerBytesMax,
  })
  const recorded = new RecordedTransport({ clock, records, transport })
  lifecycle.own('connections to upstreams', () => {
    transport.close()
  })
  lifecycle.own('request queue', () => {
    records.close()
    queue.close()
  })
  opts.metrics.gauge('requests_waiting', () => queue.waiting)
  const router = new LocalRequestRouter({ ...opts, quotas, queue, transport: recorded })
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

/** This entry's part of the connections that all entries together keep to one upstream. */
function shareConnections(settings: EntrySettings, view: ClusterView): number {
  const share = Math.floor(keptPerUpstream / Math.max(1, view.entries.value.length))
  return Math.max(1, Math.min(settings.limits.connectionsPerUpstream, share))
}
