/** Adds up the time that a process spends in one kind of work, as the counter `work_ms_total`. */
import type { Clock } from '@nettlespur/core.clock'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

/**
 * - `round`: deciding what runs where.
 * - `apply`: applying committed commands to the state.
 * - `gc`: collecting garbage.
 */
export const workKinds = ['round', 'apply', 'gc'] as const
export type WorkKind = (typeof workKinds)[number]

export interface MeasureWorkOptions {
  clock: Clock
  metrics: MetricsRegistry
}

/** Runs `work`, which must be synchronous, and counts the time it takes. */
export function measureWork<T>(opts: MeasureWorkOptions, kind: WorkKind, work: () => T): T {
  const { clock, metrics } = opts
  const startMs = clock.monotonicMs()
  try {
    return work()
  } finally {
    countWork(metrics, kind, clock.monotonicMs() - startMs)
  }
}

export function countWork(metrics: MetricsRegistry, kind: WorkKind, durationMs: number): void {
  metrics.count(nameOf(kind), durationMs)
}

/** Milliseconds since the start of the process. */
export function readWorkMs(metrics: MetricsRegistry, kind: WorkKind): number {
  return metrics.counterValue(nameOf(kind))
}

function nameOf(kind: WorkKind): string {
  return `work_ms_total{kind="${kind}"}`
}
