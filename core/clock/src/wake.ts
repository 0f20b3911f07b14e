/** Wakes the one task that waits on it. A call made while the task is busy counts for its next wait. */
import type { Clock } from './clock.js'
import { startSleep } from './startSleep.js'

export class Wake {
  #pending = false
  #resume: (() => void) | undefined

  notify(): void {
    this.#pending = true
    this.#resume?.()
  }

  /** Resolves at the next call of `notify`, after `durationMs`, or when `signal` is aborted. */
  async wait(clock: Clock, durationMs: number, signal: AbortSignal): Promise<void> {
    if (!this.#pending && !signal.aborted) await this.#sleep(clock, durationMs, signal)
    this.#pending = false
  }

  async #sleep(clock: Clock, durationMs: number, signal: AbortSignal): Promise<void> {
    const { ended, end } = startSleep(clock, durationMs)
    this.#resume = end
    signal.addEventListener('abort', end, { once: true })
    await ended
    signal.removeEventListener('abort', end)
    this.#resume = undefined
  }
}
