/** Waits on a condition that only asking again can show, such as another process's state. */
import { SystemClock } from '@nettlespur/core.clock'

const askAgainMs = 25
/** Longer than any such wait takes beside other load, and shorter than the test runner waits. */
const waitMaxMs = 120_000
const clock = new SystemClock()

/**
 * Resolves with the first value of `ask` that is not undefined. `what` completes the sentence "waited for ...". Errors:
 * rejects if no such value comes within `waitMaxMs`.
 */
export async function waitUntil<T>(what: string, ask: () => Promise<T | undefined>): Promise<T> {
  const endMs = clock.monotonicMs() + waitMaxMs
  for (;;) {
    const value = await ask()
    if (value !== undefined) return value
    if (clock.monotonicMs() > endMs) throw new Error(`waited ${waitMaxMs} ms for ${what}`)
    await clock.sleep(askAgainMs)
  }
}
