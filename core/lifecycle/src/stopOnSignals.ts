/** Ties SIGTERM and SIGINT to a planned stop: the first one drains, a second one ends the process. */
import type { LifecycleManager } from './lifecycleManager.js'

const stopSignals = ['SIGTERM', 'SIGINT'] as const
const exitCodeOfSecondSignal = 130

export function stopOnSignals(lifecycle: LifecycleManager): void {
  let asked = false
  for (const signal of stopSignals) {
    process.on(signal, () => {
      if (asked) process.exit(exitCodeOfSecondSignal)
      asked = true
      void lifecycle.stop().then(() => process.exit(0))
    })
  }
}
