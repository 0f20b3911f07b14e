/**
 * What control asks of an upstream that runs batch tasks. Orders carry the fence of the leader that gives
 * them; an upstream does nothing for a lower fence than it has seen.
 */
import type { RunRef } from '@nettlespur/batch.model'

/** One life of an upstream's process. */
export interface UpstreamTarget {
  readonly upstreamId: string
  /** `IP:PORT`. */
  readonly address: string
}

export interface StartOrder {
  readonly run: RunRef
  readonly payload: string
  /** What it resumes from; empty where it begins anew. */
  readonly checkpoint: string
  /** End of the lease of all that runs there, on the upstream's clock. */
  readonly leaseEndMs: number
  readonly fence: number
}

export interface StopOrder {
  readonly run: RunRef
  readonly fence: number
}

export interface HoldOrder {
  /** Renews the lease of all that runs there until then, on the upstream's clock; absent: asks only. */
  readonly leaseEndMs: number | undefined
  readonly fence: number
  /** Ends up to this number are in the committed state and may be forgotten. */
  readonly cursor: number
  /** How long the answer may wait for an end. */
  readonly waitMs: number
}

/** Why an upstream does not start a run. */
export type StartRefusal =
  | 'fence'
  /** This attempt, or a later one, has ended or was stopped there. */
  | 'superseded'
  | 'lease-over'
  | 'no-room'
  | 'unhealthy'
  | 'invalid'

/** The upstream's steady clock as it answered, where it said so. */
interface ClockReading {
  readonly clockMs: number | undefined
}

export type StartAnswer = ClockReading &
  (
    | { readonly type: 'started' }
    | { readonly type: 'refused'; readonly reason: StartRefusal }
    /** Another life of the upstream answered: this one is over. */
    | { readonly type: 'gone' }
  )

export type StopAnswer = ClockReading & { readonly type: 'stopping' | 'fence' | 'gone' }

export interface RunningRun {
  readonly run: RunRef
  /** The newest checkpoint; empty where there is none. */
  readonly checkpoint: string
  readonly progressPercent: number
}

export type FinishedOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

export interface FinishedRun {
  /** Counts the ends of this life of the upstream, from 1. */
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
        /** Rows of the two lists that could not be read: what they stood for may run, or may have ended. */
        readonly unreadRows: number
      }
    | { readonly type: 'fence' }
    | { readonly type: 'gone' }
  )

/** Errors of all calls: reject with `unreachable` where nothing has left, else `outcome-unknown`. */
export abstract class UpstreamPort {
  abstract start(to: UpstreamTarget, order: StartOrder, timeoutMs: number): Promise<StartAnswer>
  abstract stop(to: UpstreamTarget, order: StopOrder, timeoutMs: number): Promise<StopAnswer>
  abstract hold(to: UpstreamTarget, order: HoldOrder, timeoutMs: number): Promise<HoldAnswer>
}
