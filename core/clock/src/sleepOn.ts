/** Sleeping in terms of a clock's timers, shared by all clocks. */
import type { Clock } from './clock.js'

export function sleepOn(
  clock: Pick<Clock, 'setTimer'>,
  durationMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const timer = clock.setTimer(durationMs, finish)
    signal?.addEventListener('abort', finish, { once: true })

    function finish(): void {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
  })
}
