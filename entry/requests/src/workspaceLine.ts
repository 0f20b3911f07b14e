/**
 * The queue of one workspace: its waiting requests, its number of concurrent ones, and its virtual time, which
 * is the slot time it has used divided by the contract's weight.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Either } from 'purify-ts'
import { DrainRate } from './drainRate.js'
import type { PickedUpstream } from './upstreamPicker.js'

/** Weight of the newest request in the average of slot time. */
const newestShare = 0.1
/** Slot time charged for a request as long as none has ended. */
const firstChargeMs = 10

/** A slot taken for one attempt. */
export interface SlotGrant extends PickedUpstream {
  readonly fence: number
}

export interface Waiter {
  readonly sinceMs: number
  readonly deadlineAtMs: number
  readonly avoid: ReadonlySet<string>
  readonly settle: (outcome: Either<NettlespurError, SlotGrant>) => void
}

export class WorkspaceLine {
  readonly workspace: string
  /** Requests waiting for their first slot, in order of arrival. */
  readonly fresh = new Set<Waiter>()
  /** Requests waiting for the slot of a retry; they count as concurrent already. */
  readonly again = new Set<Waiter>()
  readonly drainRate: DrainRate
  /** Number of requests that count towards the workspace's limit of concurrent ones. */
  placed = 0
  /** In milliseconds of slot time at weight 1. */
  virtualMs: number
  readonly #clock: Clock
  readonly #charges: Charge[] = []
  #meanSlotMs = firstChargeMs
  #ended = 0

  constructor(clock: Clock, workspace: string, virtualMs: number) {
    this.#clock = clock
    this.workspace = workspace
    this.virtualMs = virtualMs
    this.drainRate = new DrainRate(clock)
  }

  /** Mean time from the first slot of a request to its end; 0 if none has ended. */
  get meanSlotMs(): number {
    return this.#ended === 0 ? 0 : this.#meanSlotMs
  }

  get isIdle(): boolean {
    return this.placed === 0 && this.fresh.size === 0 && this.again.size === 0
  }

  /** Whether a request that had to wait is expected, from the mean time, to end after its deadline. */
  isTooLate(waiter: Waiter): boolean {
    const nowMs = this.#clock.monotonicMs()
    return nowMs > waiter.sinceMs && nowMs + this.meanSlotMs > waiter.deadlineAtMs
  }

  remove(waiter: Waiter): void {
    this.fresh.delete(waiter)
    this.again.delete(waiter)
  }

  /** Charges the mean slot time in advance; `noteEnd` corrects the charge to the time that was used. */
  noteStart(weight: number): void {
    const chargedMs = this.#meanSlotMs / weight
    this.virtualMs += chargedMs
    this.placed += 1
    this.#charges.push({ startedMs: this.#clock.monotonicMs(), chargedMs, weight })
    this.drainRate.noteGrant()
  }

  /** Settles the oldest charge, whichever request ended: the sum of the times is the same. */
  noteEnd(): void {
    const charge = this.#charges.shift()
    if (charge === undefined) return
    const tookMs = this.#clock.monotonicMs() - charge.startedMs
    this.virtualMs += tookMs / charge.weight - charge.chargedMs
    this.#ended += 1
    const share = Math.max(newestShare, 1 / this.#ended)
    this.#meanSlotMs += (tookMs - this.#meanSlotMs) * share
    this.placed -= 1
  }
}

/** The advance charge for a running request. */
interface Charge {
  readonly startedMs: number
  readonly chargedMs: number
  readonly weight: number
}
