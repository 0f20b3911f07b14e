/** A clock that moves only when told, for tests that give the same verdict every time. */
import type { Clock, Timer } from './clock.js'
import { sleepOn } from './sleepOn.js'

interface PendingTimer {
  readonly dueMs: number
  readonly order: number
  readonly run: () => void
}

export class ManualClock implements Clock {
  #elapsedMs = 0
  #order = 0
  readonly #startMs: number
  readonly #pending = new Set<PendingTimer>()

  constructor(start: Date = new Date(0)) {
    this.#startMs = start.getTime()
  }

  now(): Date {
    return new Date(this.#startMs + this.#elapsedMs)
  }

  monotonicMs(): number {
    return this.#elapsedMs
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const timer = { dueMs: this.#elapsedMs + Math.max(0, delayMs), order: this.#order++, run }
    this.#pending.add(timer)
    return {
      cancel: () => {
        this.#pending.delete(timer)
      },
    }
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, durationMs, signal)
  }

  /** How many timers wait: lets a test advance only when the code under test is asleep. */
  get pendingTimers(): number {
    return this.#pending.size
  }

  /** When the next timer is due, on the monotonic scale; undefined where none waits. */
  get nextDueMs(): number | undefined {
    return this.#next()?.dueMs
  }

  /** Moves time on, running due timers in order and letting promises settle after each. */
  async advance(durationMs: number): Promise<void> {
    const targetMs = this.#elapsedMs + durationMs
    await settle()
    for (;;) {
      const next = this.#next()
      if (next === undefined || next.dueMs > targetMs) break
      this.#elapsedMs = Math.max(this.#elapsedMs, next.dueMs)
      this.#pending.delete(next)
      next.run()
      await settle()
    }
    this.#elapsedMs = targetMs
    await settle()
  }

  #next(): PendingTimer | undefined {
    let first: PendingTimer | undefined
    for (const timer of this.#pending) {
      if (first === undefined || isEarlier(timer, first)) first = timer
    }
    return first
  }
}

function isEarlier(left: PendingTimer, right: PendingTimer): boolean {
  return left.dueMs === right.dueMs ? left.order < right.order : left.dueMs < right.dueMs
}

/** Lets promise reactions, and what they start, run to their end. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve)
  })
}
