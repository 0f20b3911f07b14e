/** Registers gauges of the upstream speeds that the leader knows. */
import type { SpeedDistribution } from '@nettlespur/batch.speeds'
import type { BatchState } from '@nettlespur/batch.state'
import type { Clock } from '@nettlespur/core.clock'
import { maxOf, minOf } from '@nettlespur/core.lists'
import type { MetricsRegistry } from '@nettlespur/core.metrics'
import type { SpeedLearner } from './speedLearner.js'

export interface ReportSpeedsOptions {
  clock: Clock
  metrics: MetricsRegistry
  learner: SpeedLearner
  getState: () => BatchState
  /** Aborted once this leader's term is over; the gauges are 0 from then on. */
  signal: AbortSignal
}

export function reportSpeeds({
  clock,
  metrics,
  learner,
  getState,
  signal,
}: ReportSpeedsOptions): void {
  const listKnown = (): SpeedDistribution[] => {
    if (signal.aborted) return []
    const nowMs = clock.monotonicMs()
    const speeds = [...getState().upstreams].flatMap(([upstreamId, { hasLeft }]) =>
      hasLeft ? [] : [learner.get(upstreamId, nowMs)],
    )
    return speeds.filter(({ isKnown }) => isKnown)
  }
  const listMeans = (): number[] => listKnown().map(({ mean }) => mean)
  metrics.gauge('upstream_speeds_known', () => listKnown().length)
  metrics.gauge('upstream_speed_slowest', () => orZero(minOf(listMeans())))
  metrics.gauge('upstream_speed_fastest', () => orZero(maxOf(listMeans())))
}

function orZero(value: number): number {
  return Number.isFinite(value) ? value : 0
}
