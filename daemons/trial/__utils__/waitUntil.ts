/** Waits on a condition that only asking again can show, such as another process's state. */
import { SystemClock } from '@nettlespur/core.clock'

const askAgainMs = 25
const clock = new SystemClock()

/** Resolves with the first value of `ask` that is not undefined. The test runner's own limit bounds it. */
export async function waitUntil<T>(ask: () => Promise<T | undefined>): Promise<T> {
  for (;;) {
    const value = await ask()
    if (value !== undefined) return value
    await clock.sleep(askAgainMs)
  }
}
