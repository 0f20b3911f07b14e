/** What a conversation with an upstream is made of, and its timings. */
import type { Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import type { SessionHost } from './sessionHost.js'
import type { UpstreamPort, UpstreamTarget } from './upstreamPort.js'

export interface SessionTimings {
  /** The lease given to all that runs on an upstream. */
  readonly leaseMs: number
  /** How long an upstream may keep a look waiting for an end. */
  readonly holdWaitMs: number
}

export interface UpstreamSessionOptions {
  target: UpstreamTarget
  port: UpstreamPort
  host: SessionHost
  clock: Clock
  logger: Logger
  timings: SessionTimings
  /** When this leader took over, where an earlier one had placed runs there. */
  takeoverMs: number | undefined
  signal: AbortSignal
}

/**
 * An upstream answers an order in a few milliseconds over links of 1 ms; with a lost packet it takes about
 * 200 ms more. What takes longer is sent again on another connection.
 */
export const orderTimeoutMs = 500
/** Allowed to a look beyond the time it waits there; see `orderTimeoutMs`. */
export const holdTimeoutMarginMs = 700
/** Two tries stay well within the 3,000 ms in which all members of a gang have to be there. */
export const startTriesMax = 2
/** How long an upstream may keep a look waiting while a start is on trial there: others wait for it to be over. */
export const trialPollWaitMs = 500
/** Between calls to an upstream that does not answer. */
export const retryPauseMs = 250
/** After a look with unread rows: an upstream that answers at once each time is not to be asked without end. */
export const unreadPauseMs = 100
/** Some looks later a row that was torn once is whole again; a run that is still unlisted cannot be followed. */
export const unlistedMsMax = 3000
/**
 * A run that crashes its upstream does so as it starts. An answer that shows it this long after the answer to its start was
 * given after that, also where a lost packet held the answer up.
 */
export const provenAfterMs = 1000
