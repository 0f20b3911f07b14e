/** The machine's clock. Its timers keep the process alive only where asked. */
import { performance } from 'node:perf_hooks'
import type { Clock, Timer } from './clock.js'
import { sleepOn } from './sleepOn.js'

export class SystemClock implements Clock {
  now(): Date {
    return new Date()
  }

  monotonicMs(): number {
    return performance.now()
  }

  setTimer(delayMs: number, run: () => void): Timer {
    const handle = setTimeout(run, delayMs)
    return {
      cancel: () => {
        clearTimeout(handle)
      },
    }
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, durationMs, signal)
  }
}
