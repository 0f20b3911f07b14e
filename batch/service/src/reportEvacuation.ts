/** Logs and counts orders for the evacuation of a data centre. */
import type { BatchState, CommandOutcome } from '@nettlespur/batch.state'
import type { EvacuationChange } from '@nettlespur/core.evacuations'
import type { Logger } from '@nettlespur/core.logger'
import type { MetricsRegistry } from '@nettlespur/core.metrics'

export interface ReportEvacuationOptions {
  logger: Logger
  metrics: MetricsRegistry
  state: BatchState
  change: EvacuationChange
  outcome: CommandOutcome
}

/** Call it once the order is committed. The line says how many upstreams and runs the order applies to. */
export function reportEvacuation({
  logger,
  metrics,
  state: { upstreams, placements },
  change: { dataCentre, isInForce, expectedRevision },
  outcome,
}: ReportEvacuationOptions): void {
  const concerned = [...upstreams.values()].filter(
    ({ description, hasLeft }) => !hasLeft && description.dataCentre === dataCentre,
  )
  const runs = concerned.reduce(
    (sum, { description }) => sum + placements.getByUpstream(description.upstreamId).size,
    0,
  )
  logger.info({
    event: 'evacuation.received',
    dataCentre,
    isInForce,
    expectedRevision,
    outcome,
    upstreams: concerned.length,
    runs,
  })
  metrics.count(`evacuation_orders_${outcome.replaceAll('-', '_')}_total`)
}
