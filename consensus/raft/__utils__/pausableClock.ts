/** The clock of one node, on top of a shared one. While it is paused, time goes on and due timers are held back. */
import { sleepOn, type Clock, type ManualClock, type Timer } from '@nettlespur/core.clock'

export class PausableClock implements Clock {
  readonly #clock: ManualClock
  #heldTimers: (() => void)[] | undefined

  constructor(clock: ManualClock) {
    this.#clock = clock
  }

  now(): Date {
    return this.#clock.now()
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs()
  }

  setTimer(delayMs: number, run: () => void): Timer {
    let cancelled = false
    const timer = this.#clock.setTimer(delayMs, () => {
      const fire = (): void => {
        if (!cancelled) run()
      }
      if (this.#heldTimers === undefined) fire()
      else this.#heldTimers.push(fire)
    })
    const cancel = (): void => {
      cancelled = true
      timer.cancel()
    }
    return { cancel }
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, durationMs, signal)
  }

  pause(): void {
    this.#heldTimers ??= []
  }

  resume(): void {
    const held = this.#heldTimers ?? []
    this.#heldTimers = undefined
    for (const fire of held) fire()
  }
}
