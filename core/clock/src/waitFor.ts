/** Waiting for a value that changes over time, with a deadline. */
import type { Clock } from './clock.js'
import { filter, type Observable } from 'rxjs'

/** True where a value passed before the deadline, the end of `values` and the abortion of `signal`. */
export async function waitFor<T>(
  clock: Clock,
  values: Observable<T>,
  passes: (value: T) => boolean,
  opts: { timeoutMs: number; signal?: AbortSignal | undefined },
): Promise<boolean> {
  const done = new AbortController()
  let passed = false
  const abort = (): void => {
    done.abort()
  }
  const watching = values.pipe(filter(passes)).subscribe({
    next: () => {
      passed = true
      abort()
    },
    complete: abort,
  })
  if (opts.signal?.aborted === true) abort()
  opts.signal?.addEventListener('abort', abort, { once: true })
  await clock.sleep(opts.timeoutMs, done.signal)
  opts.signal?.removeEventListener('abort', abort)
  watching.unsubscribe()
  return passed
}
