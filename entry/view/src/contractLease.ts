/**
 * The lease under which this entry may enforce the contracts it holds. It is counted from the time at which
 * the watch request was sent, so it ends here no later than at control.
 */
import type { Clock, Timer } from '@nettlespur/core.clock'
import { NettlespurError } from '@nettlespur/core.errors'
import { BehaviorSubject } from 'rxjs'

const retryAfterMs = 1000

export class ContractLease {
  /** Emits false when the lease ends, and true when it is held again. */
  readonly held = new BehaviorSubject(false)
  readonly #clock: Clock
  #endsMs = Number.NEGATIVE_INFINITY
  #timer: Timer | undefined

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Compares with the clock instead of reading `held`, because a timer that fires late must not extend the lease. */
  isHeld(): boolean {
    return this.#clock.monotonicMs() < this.#endsMs
  }

  /** Returns the error for callers while the lease is not held; undefined while it is. */
  getRefusal(): NettlespurError | undefined {
    if (this.isHeld()) return undefined
    const message = 'this entry cannot confirm that it holds the newest contracts'
    return new NettlespurError('contract-lease-expired', message, { retryAfterMs })
  }

  /** Extends the lease to `leaseMs` after `sentMs`. Never shortens it. */
  renew(sentMs: number, leaseMs: number): void {
    this.#endsMs = Math.max(this.#endsMs, sentMs + leaseMs)
    this.#timer?.cancel()
    const remainingMs = this.#endsMs - this.#clock.monotonicMs()
    this.#timer = this.#clock.setTimer(Math.max(0, remainingMs), () => {
      this.#publish()
    })
    this.#publish()
  }

  /** Ends the lease at once. */
  end(): void {
    this.#timer?.cancel()
    this.#endsMs = Number.NEGATIVE_INFINITY
    this.#publish()
  }

  #publish(): void {
    const held = this.isHeld()
    if (held !== this.held.value) this.held.next(held)
  }
}
