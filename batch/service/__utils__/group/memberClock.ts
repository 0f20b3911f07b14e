/**
 * The monotonic clock of one process, driven by the clock of the group. While the process is frozen its timers do not
 * fire although its time goes on; while it is suspended its time stands still as well.
 */
import { sleepOn, type Clock, type ManualClock, type Timer } from '@nettlespur/core.clock'

/** Sums of times differ by less than this; a shorter timer could become due again and again at the same time. */
const roundingMs = 0.001

export type PauseKind = 'freeze' | 'suspend'

export class MemberClock implements Clock {
  readonly #groupClock: ManualClock
  /** The time of the group's clock that passed while this process was suspended. */
  #missedMs = 0
  #paused: { readonly kind: PauseKind; readonly sinceMs: number } | undefined
  #deferred: (() => void)[] = []

  constructor(groupClock: ManualClock) {
    this.#groupClock = groupClock
  }

  get isPaused(): boolean {
    return this.#paused !== undefined
  }

  now(): Date {
    return this.#groupClock.now()
  }

  monotonicMs(): number {
    const groupMs =
      this.#paused?.kind === 'suspend' ? this.#paused.sinceMs : this.#groupClock.monotonicMs()
    return groupMs - this.#missedMs
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const dueMs = this.monotonicMs() + Math.max(0, delayMs)
    let cancelled = false
    let timer: Timer | undefined
    const fire = (): void => {
      if (cancelled) return
      const leftMs = dueMs - this.monotonicMs()
      if (this.#paused !== undefined) this.#deferred.push(fire)
      else if (leftMs > roundingMs) timer = this.#groupClock.setTimer(leftMs, fire)
      else run()
    }
    timer = this.#groupClock.setTimer(Math.max(delayMs, roundingMs), fire)
    return {
      cancel: () => {
        cancelled = true
        timer?.cancel()
      },
    }
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, durationMs, signal)
  }

  /** Resolves at once, or when the process is resumed. */
  waitUntilResumed(): Promise<void> {
    if (this.#paused === undefined) return Promise.resolve()
    return new Promise((resolve) => {
      this.#deferred.push(resolve)
    })
  }

  pause(kind: PauseKind): void {
    this.#paused ??= { kind, sinceMs: this.#groupClock.monotonicMs() }
  }

  resume(): void {
    const paused = this.#paused
    if (paused === undefined) return
    if (paused.kind === 'suspend') this.#missedMs += this.#groupClock.monotonicMs() - paused.sinceMs
    this.#paused = undefined
    const deferred = this.#deferred
    this.#deferred = []
    for (const run of deferred) run()
  }
}
