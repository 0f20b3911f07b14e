/** The clock of a played day. Nothing waits on it: the day calls what is due. */
import type { Clock, Timer } from '@nettlespur/core.clock'

export class PlayedClock implements Clock {
  nowMs = 0

  now(): Date {
    return new Date(this.nowMs)
  }

  monotonicMs(): number {
    return this.nowMs
  }

  setTimer(): Timer {
    throw new Error('timers are not played')
  }

  sleep(): Promise<void> {
    throw new Error('timers are not played')
  }
}
