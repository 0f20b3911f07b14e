/** The calls of one entry: at rest one watch and one batch of announcements a second. */
import type { Announcement } from '@nettlespur/api.schemas'
import type { EntryIdentity } from '@nettlespur/control.api'
import type { Clock } from '@nettlespur/core.clock'
import type { TRPCClient } from '@trpc/client'
import type { PeerRouter } from './peerRouter.js'

const everyMs = 1000
const burstsPerSecond = 25
const firstCommitIndex = 123_456

export interface CallerOptions {
  clock: Clock
  call: TRPCClient<PeerRouter>
}

/** Runs until the process ends. */
export async function watchForever(opts: CallerOptions, entry: EntryIdentity): Promise<void> {
  const position = { epoch: 'control-1-12-0123abcd', contractIndex: 4711, upstreamVersion: 1234 }
  for (;;) await opts.call.watch.mutate({ ...position, entry, waitMs: everyMs, leaving: false })
}

export async function announceForever(opts: CallerOptions, upstreams: number): Promise<void> {
  const items = Array.from({ length: upstreams }, (_, index) => ({
    upstreamId: `upstream-${index + 1}`,
    announcement: createAnnouncement(index),
  }))
  for (;;) {
    await opts.call.announce.mutate({ items })
    await opts.clock.sleep(everyMs)
  }
}

/** Bursts of calls in one turn of the event loop, as batching links like them. */
export async function sendHeartbeats(
  opts: CallerOptions,
  load: { callsPerBurst: number; seconds: number },
): Promise<void> {
  for (let burst = 0; burst < load.seconds * burstsPerSecond; burst++) {
    const calls = Array.from({ length: load.callsPerBurst }, () =>
      opts.call.heartbeat.mutate({
        term: 12,
        leaderId: 'control-1',
        commitIndex: firstCommitIndex + burst,
      }),
    )
    await Promise.all([...calls, opts.clock.sleep(everyMs / burstsPerSecond)])
  }
}

export function createAnnouncement(index: number): Announcement {
  return {
    address: `10.2.${index % 250}.17:7801`,
    dataCentre: 'dc-1',
    rack: `rack-${index % 90}`,
    slots: 8,
    cpuCores: 32,
    memoryBytes: 137_438_953_472,
    accelerators: 8,
    state: 'ready',
    tasks: [],
  }
}
