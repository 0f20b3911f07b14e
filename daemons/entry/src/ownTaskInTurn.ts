/** Owns a task that outlives the begin of a planned stop: it is ended in its turn of the clean-up. */
import type { LifecycleManager } from '@nettlespur/core.lifecycle'

export function ownTaskInTurn(
  lifecycle: LifecycleManager,
  name: string,
  run: (signal: AbortSignal) => Promise<void>,
): void {
  const stopping = new AbortController()
  const ended = run(stopping.signal)
  lifecycle.own(name, () => {
    stopping.abort()
    return ended
  })
}
