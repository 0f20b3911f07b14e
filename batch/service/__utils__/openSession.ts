/** Opens a session with the one upstream of a host. */
import { UpstreamSession, type UpstreamPort } from '@nettlespur/batch.sessions'
import type { Clock } from '@nettlespur/core.clock'
import { silentLogger } from './silentLogger.js'
import type { SlowHost } from './slowHost.js'

export interface OpenSessionOptions {
  clock: Clock
  host: SlowHost
  port: UpstreamPort
  /** See `UpstreamSession`; undefined by default. */
  takeoverMs?: number
}

export function openSession({
  clock,
  host,
  port,
  takeoverMs,
}: OpenSessionOptions): UpstreamSession {
  return new UpstreamSession({
    target: { upstreamId: host.upstreamId, address: '127.0.0.1:9000' },
    port,
    host,
    clock,
    logger: silentLogger,
    timings: { leaseMs: 9500, holdWaitMs: 2000 },
    takeoverMs,
    signal: new AbortController().signal,
  })
}
