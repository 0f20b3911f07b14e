/** Counts the time that the garbage collector stops the process for. */
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import { PerformanceObserver } from 'node:perf_hooks'
import { countWork } from './measureWork.js'

/** Returns a function that ends the watch. */
export function watchGarbageCollection(metrics: MetricsRegistry): () => void {
  const observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) countWork(metrics, 'gc', duration)
  })
  observer.observe({ entryTypes: ['gc'] })
  return () => {
    observer.disconnect()
  }
}
