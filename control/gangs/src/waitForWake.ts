/** Sleeps until `durationMs` has passed, `wakes` emits or `signal` is aborted. */
import type { Clock } from '@nettlespur/core.clock'
import type { Observable } from 'rxjs'

export async function waitForWake(
  clock: Clock,
  durationMs: number,
  wakes: Observable<unknown>,
  signal: AbortSignal,
): Promise<void> {
  const awake = new AbortController()
  const wake = (): void => {
    awake.abort()
  }
  signal.addEventListener('abort', wake, { once: true })
  const subscription = wakes.subscribe(wake)
  if (signal.aborted) wake()
  await clock.sleep(durationMs, awake.signal)
  subscription.unsubscribe()
  signal.removeEventListener('abort', wake)
}
