/** Waiting for a value that changes over time, with a deadline. */
import type { Clock } from './clock.js'
import { filter, type Observable } from 'rxjs'
import { startSleep } from './startSleep.js'

/** True where a value passed before the deadline, the end of `values` and the abortion of `signal`. */
export async function waitFor<T>(
  clock: Clock,
  values: Observable<T>,
  passes: (value: T) => boolean,
  opts: { timeoutMs: number; signal?: AbortSignal | undefined },
): Promise<boolean> {
  let passed = false
  let isOver = opts.signal?.aborted === true
  let wake = (): void => undefined
  const finish = (): void => {
    isOver = true
    wake()
  }
  const watching = values.pipe(filter(passes)).subscribe({
    next: () => {
      passed = true
      finish()
    },
    complete: finish,
  })
  // Most values pass at once, and then need no timer.
  if (!isOver) {
    const { ended, end } = startSleep(clock, opts.timeoutMs)
    wake = end
    opts.signal?.addEventListener('abort', end, { once: true })
    await ended
    opts.signal?.removeEventListener('abort', end)
  }
  watching.unsubscribe()
  return passed
}
