/**
 * Who of one workspace waits, who runs, and how much of the entry's slots it has had, as virtual time:
 * slot time used divided by the contract's weight.
 */
import type { Clock } from '@nettlespur/core.clock'
import type { NettlespurError } from '@nettlespur/core.errors'
import type { Either } from 'purify-ts'
import { DrainRate } from './drainRate.js'
import type { PickedUpstream } from './upstreamPicker.js'

/** Weight of the newest request in the average of slot time. */
const newestShare = 0.1
/** Charged for a request before any has ended. */
const firstChargeMs = 10

/** A slot taken for one attempt. */
export interface SlotGrant extends PickedUpstream {
  readonly fence: number
}

export interface Waiter {
  readonly avoid: ReadonlySet<string>
  readonly settle: (outcome: Either<NettlespurError, SlotGrant>) => void
}

export class WorkspaceLine {
  readonly workspace: string
  /** Waiting for their first slot, in order of arrival. */
  readonly fresh = new Set<Waiter>()
  /** Waiting for the slot of a later attempt; they have their place already. */
  readonly again = new Set<Waiter>()
  readonly drainRate: DrainRate
  /** Requests that have their place among the concurrent ones. */
  placed = 0
  /** In milliseconds of one slot at weight 1. */
  virtualMs: number
  readonly #clock: Clock
  readonly #charges: Charge[] = []
  #meanSlotMs = firstChargeMs

  constructor(clock: Clock, workspace: string, virtualMs: number) {
    this.#clock = clock
    this.workspace = workspace
    this.virtualMs = virtualMs
    this.drainRate = new DrainRate(clock)
  }

  get isIdle(): boolean {
    return this.placed === 0 && this.fresh.size === 0 && this.again.size === 0
  }

  remove(waiter: Waiter): void {
    this.fresh.delete(waiter)
    this.again.delete(waiter)
  }

  /** Charges a request at its start what others took; `noteEnd` corrects it by what it did take. */
  noteStart(weight: number): void {
    const chargedMs = this.#meanSlotMs / weight
    this.virtualMs += chargedMs
    this.placed += 1
    this.#charges.push({ startedMs: this.#clock.monotonicMs(), chargedMs, weight })
    this.drainRate.noteGrant()
  }

  /** Which of the running requests ended does not matter: the sum of their times is the same. */
  noteEnd(): void {
    const charge = this.#charges.shift()
    if (charge === undefined) return
    const tookMs = this.#clock.monotonicMs() - charge.startedMs
    this.virtualMs += tookMs / charge.weight - charge.chargedMs
    this.#meanSlotMs += (tookMs - this.#meanSlotMs) * newestShare
    this.placed -= 1
  }
}

/** What a running request was charged when it started. */
interface Charge {
  readonly startedMs: number
  readonly chargedMs: number
  readonly weight: number
}
