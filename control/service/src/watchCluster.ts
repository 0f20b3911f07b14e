/** Serves the long poll of an entry: answers as soon as there is an update that the entry does not have. */
import type { ClusterUpdate, WatchRequest } from '@nettlespur/control.api'
import { waitForWake } from '@nettlespur/control.gangs'
import { unwrap } from '@nettlespur/core.errors'
import { filter, merge } from 'rxjs'
import type { LeaderSession } from './leaderSession.js'
import type { ControlNodeOptions } from './nodeOptions.js'

/** Polls wait for at most this share of a contract lease, so that the answer renews the lease in time. */
const maxWaitLeaseShare = 0.5

export async function watchCluster(
  opts: ControlNodeOptions,
  session: LeaderSession,
  request: WatchRequest,
): Promise<ClusterUpdate> {
  session.entries.recordWatch(request)
  await waitForUpdate(opts, session, request)
  // The lease counts from the request, so the contracts must not be older than the request.
  await unwrap(opts.log.readBarrier())
  return createUpdate(opts, session, request)
}

async function waitForUpdate(
  { clock, holder, timings }: ControlNodeOptions,
  session: LeaderSession,
  { epoch, contractIndex, upstreamVersion, waitMs, leaving }: WatchRequest,
): Promise<void> {
  if (leaving || epoch !== session.epoch) return
  const news = merge(
    holder.applied.pipe(filter(() => holder.state.contractIndex !== contractIndex)),
    session.version.pipe(filter((version) => version !== upstreamVersion)),
  )
  const longestMs = timings.contractLeaseMs * maxWaitLeaseShare
  await waitForWake(clock, Math.min(waitMs, longestMs), news, session.ended)
}

function createUpdate(
  { holder, timings }: ControlNodeOptions,
  session: LeaderSession,
  request: WatchRequest,
): ClusterUpdate {
  const { state } = holder
  const known = request.epoch === session.epoch
  const contracts = state.listContracts()
  return {
    epoch: session.epoch,
    contractIndex: state.contractIndex,
    contracts: known
      ? contracts.filter((record) => record.changeIndex > request.contractIndex)
      : contracts,
    upstreamVersion: session.version.value,
    upstreams: known
      ? session.upstreams.listSince(request.upstreamVersion)
      : session.upstreams.list(),
    entries: session.entries.list(),
    contractLeaseMs: timings.contractLeaseMs,
  }
}
