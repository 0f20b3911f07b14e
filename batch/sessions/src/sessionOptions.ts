/** Dependencies and timings of the session with an upstream. */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { PaceWatch } from './paceWatch.js'
import type { SessionHost } from './sessionHost.js'
import type { UpstreamPort, UpstreamTarget } from './upstreamPort.js'

export interface SessionTimings {
  /** Length of the lease, which covers all runs on an upstream. */
  readonly leaseMs: number
  /** How long an upstream may delay its answer to a poll while no run ends. */
  readonly holdWaitMs: number
}

export interface UpstreamSessionOptions {
  target: UpstreamTarget
  port: UpstreamPort
  host: SessionHost
  clock: Clock
  logger: Logger
  timings: SessionTimings
  /** When this leader took over, on its own clock; undefined if earlier leaders left no placed runs there. */
  takeoverMs: number | undefined
  signal: AbortSignal
  /** Receives the paces of the runs; without it none are measured. */
  paceWatch?: PaceWatch | undefined
}

/**
 * Over links of 1 ms an upstream answers an order in a few milliseconds, or about 200 ms later if a packet is lost.
 * An order that takes longer is sent again on another connection.
 */
export const orderTimeoutMs = 500
/** Added to the requested wait of a poll to get its timeout; see `orderTimeoutMs`. */
export const holdTimeoutMarginMs = 700
/** Two tries stay well within the 3,000 ms in which all members of a gang must have started. */
export const startTriesMax = 2
/** Limits the wait of a poll while a run is on trial there, because other starts wait for the trial to end. */
export const trialPollWaitMs = 500
/** Pause before the next call after a call without an answer, a rejected fence or a failed commit. */
export const retryPauseMs = 250
/** Pause after an answer with unparsable rows, to avoid polling an upstream that answers at once in a tight loop. */
export const unreadPauseMs = 100
/** A row that was damaged once is intact a few polls later; a run that stays unlisted for longer cannot be followed. */
export const unlistedMsMax = 3000
/**
 * A run that crashes its upstream does so as it starts. If an answer lists the run this long after the start order was
 * answered, the run has survived its start, even if a lost packet delayed that answer.
 */
export const provenAfterMs = 1000
/** How long after it was sent an order may still be executed, as the platform's agreement says: some seconds. */
export const lateOrderMsMax = 12_000
/** An upstream lists the oldest ends, no more than this many at a time, as the platform's agreement says. */
export const endsListedMax = 500
