/**
 * A timer that judges another side's silence. A process that was busy or stopped runs its timers before it
 * reads what arrived meanwhile; a deadline lets it read that first.
 */
import type { Clock, Timer } from './clock.js'

export function setDeadline(clock: Clock, delayMs: number, run: () => void): Timer {
  let isCancelled = false
  const timer = clock.setTimer(delayMs, () => {
    setImmediate(() => {
      if (!isCancelled) run()
    })
  })
  return {
    cancel: () => {
      isCancelled = true
      timer.cancel()
    },
  }
}
