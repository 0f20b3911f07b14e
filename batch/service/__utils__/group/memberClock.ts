/**
 * The steady clock of one process on the clock of the world. Frozen, its timers wait although time goes on;
 * suspended, its time stands still as well.
 */
import { sleepOn, type Clock, type ManualClock, type Timer } from '@nettlespur/core.clock'

/** Sums of times differ by less than this; a shorter timer would be due at the same time for ever. */
const roundingMs = 0.001

export type PauseKind = 'freeze' | 'suspend'

export class MemberClock implements Clock {
  readonly #world: ManualClock
  /** Of the time of the world, how much this process has not seen. */
  #missedMs = 0
  #paused: { readonly kind: PauseKind; readonly sinceMs: number } | undefined
  #held: (() => void)[] = []

  constructor(world: ManualClock) {
    this.#world = world
  }

  get isPaused(): boolean {
    return this.#paused !== undefined
  }

  now(): Date {
    return this.#world.now()
  }

  monotonicMs(): number {
    const worldMs =
      this.#paused?.kind === 'suspend' ? this.#paused.sinceMs : this.#world.monotonicMs()
    return worldMs - this.#missedMs
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const dueMs = this.monotonicMs() + Math.max(0, delayMs)
    let cancelled = false
    let timer: Timer | undefined
    const fire = (): void => {
      if (cancelled) return
      const leftMs = dueMs - this.monotonicMs()
      if (this.#paused !== undefined) this.#held.push(fire)
      else if (leftMs > roundingMs) timer = this.#world.setTimer(leftMs, fire)
      else run()
    }
    timer = this.#world.setTimer(Math.max(delayMs, roundingMs), fire)
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

  /** Resolves at once, or when the process goes on. */
  waitUntilAwake(): Promise<void> {
    if (this.#paused === undefined) return Promise.resolve()
    return new Promise((resolve) => {
      this.#held.push(resolve)
    })
  }

  pause(kind: PauseKind): void {
    this.#paused ??= { kind, sinceMs: this.#world.monotonicMs() }
  }

  resume(): void {
    const paused = this.#paused
    if (paused === undefined) return
    if (paused.kind === 'suspend') this.#missedMs += this.#world.monotonicMs() - paused.sinceMs
    this.#paused = undefined
    const held = this.#held
    this.#held = []
    for (const goOn of held) goOn()
  }
}
