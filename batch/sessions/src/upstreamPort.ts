/**
 * The calls from the leader to an upstream that runs batch tasks. Orders carry the fencing token of the leader that
 * sends them; an upstream rejects orders with a lower token than it has seen.
 */
import type { RunRef } from '@nettlespur/batch.model'

/** One process of an upstream. */
export interface UpstreamTarget {
  readonly upstreamId: string
  /**
   * The id that it announces, if a later process at its address may have it too. Orders name only that id, so a later
   * process may execute them.
   */
  readonly announcedId?: string | undefined
  /** `IP:PORT`. */
  readonly address: string
}

export interface StartOrder {
  readonly run: RunRef
  readonly payload: string
  /** What the run resumes from; empty if it starts from the beginning. */
  readonly checkpoint: string
  /** End of the lease that covers all runs there, on the upstream's clock. */
  readonly leaseEndMs: number
  readonly fence: number
}

export interface StopOrder {
  readonly run: RunRef
  readonly fence: number
}

export interface HoldOrder {
  /** New end of the lease that covers all runs there, on the upstream's clock; undefined leaves the lease unchanged. */
  readonly leaseEndMs: number | undefined
  readonly fence: number
  /** Acknowledges ends up to this number: they are committed, and the upstream may forget them. */
  readonly cursor: number
  /** How long the upstream may delay its answer while no run ends. */
  readonly waitMs: number
}

/** Why an upstream refuses to start a run. */
export type StartRefusal =
  | 'fence'
  /** This attempt or a later one has already ended or been stopped there. */
  | 'superseded'
  | 'lease-over'
  | 'no-room'
  | 'unhealthy'
  | 'invalid'

/** The upstream's monotonic clock when it answered; undefined if the answer did not state it. */
interface ClockReading {
  readonly clockMs: number | undefined
}

export type StartAnswer = ClockReading &
  (
    | { readonly type: 'started' }
    | { readonly type: 'refused'; readonly reason: StartRefusal }
    /** Another process answered under the upstream's address: the addressed one is gone. */
    | { readonly type: 'gone' }
  )

export type StopAnswer = ClockReading & { readonly type: 'stopping' | 'fence' | 'gone' }

export interface RunningRun {
  readonly run: RunRef
  /** The newest checkpoint; empty if there is none. */
  readonly checkpoint: string
  readonly progressPercent: number
}

export type FinishedOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

export interface FinishedRun {
  /** Sequence number of the end within the upstream's process, from 1. */
  readonly number: number
  readonly run: RunRef
  readonly outcome: FinishedOutcome
  readonly checkpoint: string
}

export type HoldAnswer = ClockReading &
  (
    | {
        readonly type: 'held'
        readonly running: readonly RunningRun[]
        readonly finished: readonly FinishedRun[]
        /** Number of rows that could not be parsed: the runs they describe may be running or finished. */
        readonly unreadRows: number
      }
    | { readonly type: 'fence' }
    /** `successorId`: the process that executed the order instead; absent if none did. */
    | { readonly type: 'gone'; readonly successorId?: string }
  )

/**
 * Errors: all calls reject with `unreachable` if nothing was sent, and otherwise with `outcome-unknown`. Neither tells
 * whether the upstream's process runs: a connection may be refused by something in between.
 */
export abstract class UpstreamPort {
  abstract start(to: UpstreamTarget, order: StartOrder, timeoutMs: number): Promise<StartAnswer>
  abstract stop(to: UpstreamTarget, order: StopOrder, timeoutMs: number): Promise<StopAnswer>
  /**
   * Polls the running and finished runs (a long poll), renews the lease and acknowledges ends. A later process that has
   * taken the place of `to` is neither given a lease nor sent the cursor, unless the order is executed late.
   */
  abstract hold(to: UpstreamTarget, order: HoldOrder, timeoutMs: number): Promise<HoldAnswer>
}
