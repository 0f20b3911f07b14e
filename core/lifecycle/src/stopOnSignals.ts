/** Ties SIGTERM and SIGINT to a planned stop: the first one drains, a second one ends the process. */
import type { LifecycleManager } from './lifecycleManager.js'

const stopSignals = ['SIGTERM', 'SIGINT'] as const
const exitCodeOfSecondSignal = 130

/**
 * Given a promise, a signal that comes while the process still starts stops it once it has started. A start
 * that fails is its caller's to report.
 */
export function stopOnSignals(started: LifecycleManager | Promise<LifecycleManager>): void {
  const lifecycle = Promise.resolve(started)
  lifecycle.catch(() => undefined)
  let asked = false
  for (const signal of stopSignals) {
    process.on(signal, () => {
      if (asked) process.exit(exitCodeOfSecondSignal)
      asked = true
      void lifecycle.then((owner) => owner.stop()).then(() => process.exit(0))
    })
  }
}
